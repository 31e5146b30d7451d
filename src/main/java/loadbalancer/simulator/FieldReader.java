package loadbalancer.simulator;

import java.util.HashMap;
import java.util.Map;

/**
 * Reads the fields of one line of the wire from left to right. Fields are separated by single spaces;
 * {@link WireNames#ABSENT} stands for a value that is not given.
 *
 * <p>All methods throw {@link SimulatorProtocolException} if the line has no further field or the field is malformed.
 */
final class FieldReader {
    /** Any decimal number of this many digits fits into a long. */
    private static final int MAX_DIGITS = 18;
    /** Whole numbers below this are exact as doubles. */
    private static final double MAX_WHOLE_DECIMAL = 1e15;

    private static final int MAX_SHOWN_CHARACTERS = 120;

    private final String line;
    private int position;

    FieldReader(String line) {
        this.line = line;
    }

    private boolean hasMore() {
        return position <= line.length() && !line.isEmpty();
    }

    String text() {
        if (!hasMore()) {
            throw new SimulatorProtocolException("too few fields in '" + shownLine() + "'");
        }
        int space = line.indexOf(' ', position);
        int end = space < 0 ? line.length() : space;
        String value = line.substring(position, end);
        position = end + 1;
        if (value.isEmpty()) {
            throw new SimulatorProtocolException("empty field in '" + shownLine() + "'");
        }
        return value;
    }

    /** The next field, or null where it is absent or the line has ended. */
    String textOrNull() {
        if (!hasMore()) {
            return null;
        }
        String value = text();
        return value.equals(WireNames.ABSENT) ? null : value;
    }

    long integer() {
        return parseInteger(text());
    }

    long integerOr(long absent) {
        String value = textOrNull();
        return value == null ? absent : parseInteger(value);
    }

    double decimalOr(double absent) {
        String value = textOrNull();
        return value == null ? absent : parseDecimal(value);
    }

    /** False where the field is absent. */
    boolean flag() {
        String value = textOrNull();
        return value != null && (value.equals("1") || value.equals("true"));
    }

    /** The rest of the line, which consists of {@code path=value} pairs, as values by path. */
    Map<String, String> remainingPairs() {
        Map<String, String> values = new HashMap<>();
        while (hasMore()) {
            String pair = text();
            int equals = pair.indexOf('=');
            if (equals <= 0) {
                throw new SimulatorProtocolException("setting '" + pair + "' is not of the form path=value");
            }
            values.put(pair.substring(0, equals), pair.substring(equals + 1));
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
                return parseWholeDecimal(value);
            }
            magnitude = magnitude * 10 + (digit - '0');
        }
        return firstDigit == 1 ? -magnitude : magnitude;
    }

    /** An integer written as a decimal, such as {@code 3.0} or {@code 1e6}. */
    private long parseWholeDecimal(String value) {
        double number = parseDecimal(value);
        if (number == Math.rint(number) && Math.abs(number) < MAX_WHOLE_DECIMAL) {
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
        return new SimulatorProtocolException("'" + value + "' is no integer in '" + shownLine() + "'");
    }

    private SimulatorProtocolException notANumber(String value) {
        return new SimulatorProtocolException("'" + value + "' is no number in '" + shownLine() + "'");
    }

    private String shownLine() {
        return line.length() > MAX_SHOWN_CHARACTERS ? line.substring(0, MAX_SHOWN_CHARACTERS) + "..." : line;
    }
}
