package loadbalancer.simulator;

import java.util.HashMap;
import java.util.Map;

/**
 * Reads the fields of one line of the simulator protocol from left to right. Fields are separated by single spaces;
 * {@link WireNames#ABSENT} stands for an absent value.
 *
 * <p>All methods throw {@link SimulatorProtocolException} if the field is malformed. {@link #text} and {@link #integer}
 * also throw it if the line has no further field.
 */
final class FieldReader {
    /** Any decimal integer with this number of digits fits into a long. */
    private static final int MAX_DIGITS = 18;
    /** Doubles represent all integers below this value exactly. */
    private static final double MAX_EXACT_INTEGER = 1e15;

    private static final int MAX_LINE_CHARACTERS_IN_MESSAGE = 120;

    private final String line;
    private int position;

    FieldReader(String line) {
        this.line = line;
    }

    private boolean hasNextField() {
        return position <= line.length() && !line.isEmpty();
    }

    String text() {
        if (!hasNextField()) {
            throw new SimulatorProtocolException("too few fields in line '" + abbreviatedLine() + "'");
        }
        int space = line.indexOf(' ', position);
        int end = space < 0 ? line.length() : space;
        String value = line.substring(position, end);
        position = end + 1;
        if (value.isEmpty()) {
            throw new SimulatorProtocolException("empty field in line '" + abbreviatedLine() + "'");
        }
        return value;
    }

    /** Returns the next field, or null if it is absent or the line has no further field. */
    String textOrNull() {
        if (!hasNextField()) {
            return null;
        }
        String value = text();
        return value.equals(WireNames.ABSENT) ? null : value;
    }

    long integer() {
        return parseInteger(text());
    }

    long integerOr(long defaultValue) {
        String value = textOrNull();
        return value == null ? defaultValue : parseInteger(value);
    }

    double decimalOr(double defaultValue) {
        String value = textOrNull();
        return value == null ? defaultValue : parseDecimal(value);
    }

    /** Returns whether the next field is {@code 1} or {@code true}; false if it is absent. */
    boolean flag() {
        String value = textOrNull();
        return value != null && (value.equals("1") || value.equals("true"));
    }

    /** Returns the remaining fields, which are {@code path=value} pairs, as a map from path to value. */
    Map<String, String> remainingPairs() {
        Map<String, String> values = new HashMap<>();
        while (hasNextField()) {
            String pair = text();
            int separator = pair.indexOf('=');
            if (separator <= 0) {
                throw new SimulatorProtocolException(
                        "expected a setting of the form path=value but found '" + pair + "'");
            }
            values.put(pair.substring(0, separator), pair.substring(separator + 1));
        }
        return values;
    }

    private long parseInteger(String value) {
        int firstDigit = value.length() > 1 && value.charAt(0) == '-' ? 1 : 0;
        if (value.length() - firstDigit > MAX_DIGITS) {
            throw notAnInteger(value);
        }
        long magnitude = 0;
        for (int i = firstDigit; i < value.length(); i++) {
            char digit = value.charAt(i);
            if (digit < '0' || digit > '9') {
                return parseIntegralDecimal(value);
            }
            magnitude = magnitude * 10 + (digit - '0');
        }
        return firstDigit == 1 ? -magnitude : magnitude;
    }

    /** Parses an integer that is written as a decimal, such as {@code 3.0} or {@code 1e6}. */
    private long parseIntegralDecimal(String value) {
        double number = parseDecimal(value);
        if (number == Math.rint(number) && Math.abs(number) < MAX_EXACT_INTEGER) {
            return (long) number;
        }
        throw notAnInteger(value);
    }

    private double parseDecimal(String value) {
        double number;
        try {
            number = Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw notANumber(value);
        }
        if (!Double.isFinite(number)) {
            throw notANumber(value);
        }
        return number;
    }

    private SimulatorProtocolException notAnInteger(String value) {
        return new SimulatorProtocolException(
                "expected an integer but found '" + value + "' in line '" + abbreviatedLine() + "'");
    }

    private SimulatorProtocolException notANumber(String value) {
        return new SimulatorProtocolException(
                "expected a number but found '" + value + "' in line '" + abbreviatedLine() + "'");
    }

    private String abbreviatedLine() {
        return line.length() > MAX_LINE_CHARACTERS_IN_MESSAGE
                ? line.substring(0, MAX_LINE_CHARACTERS_IN_MESSAGE) + "..."
                : line;
    }
}
