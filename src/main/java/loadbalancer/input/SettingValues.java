package loadbalancer.input;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** Typed access to settings that are given as text by path. A value of {@code -} counts as an absent number. */
final class SettingValues {
    private static final String ABSENT = "-";

    private final Map<String, String> values;

    SettingValues(Map<String, String> values) {
        this.values = values;
    }

    String text(String path) {
        String value = values.get(path);
        if (value == null) {
            throw InvalidSettingsException.missing(path);
        }
        return value;
    }

    String textOr(String path, String absent) {
        return values.getOrDefault(path, absent);
    }

    /** A list of names joined with commas; {@code absent}, in the same form, replaces an absent value. */
    List<String> namesOr(String path, String absent) {
        return Arrays.asList(textOr(path, absent).split(","));
    }

    boolean hasText(String path, String expected) {
        return expected.equals(values.get(path));
    }

    double number(String path) {
        text(path);
        return numberOr(path, 0);
    }

    double numberOr(String path, double absent) {
        String value = values.get(path);
        if (value == null || value.equals(ABSENT)) {
            return absent;
        }
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw InvalidSettingsException.notANumber(path, value);
        }
    }

    int integer(String path) {
        return (int) number(path);
    }

    int integerOr(String path, int absent) {
        return (int) numberOr(path, absent);
    }

    long micros(String path) {
        return (long) number(path);
    }

    long microsOr(String path, long absentMicros) {
        return (long) numberOr(path, absentMicros);
    }

    /** False where the setting is absent. */
    boolean flag(String path) {
        String value = values.get(path);
        return value != null && (value.equals("true") || value.equals("1"));
    }
}
