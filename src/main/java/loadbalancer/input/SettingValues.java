package loadbalancer.input;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * Provides typed access to settings, which are strings by path. Where a number is expected, {@code -} stands for an
 * absent value. Integers and times are truncated numbers.
 */
final class SettingValues {
    private static final String ABSENT = "-";

    private final Map<String, String> values;

    SettingValues(Map<String, String> values) {
        this.values = values;
    }

    /**
     * Returns the setting as it is.
     *
     * @throws InvalidSettingsException if it is missing
     */
    String string(String path) {
        String value = values.get(path);
        if (value == null) {
            throw InvalidSettingsException.missing(path);
        }
        return value;
    }

    String stringOr(String path, String defaultValue) {
        return values.getOrDefault(path, defaultValue);
    }

    /**
     * Returns the names in a comma-separated list; {@code defaultValue}, in the same form, replaces an absent value.
     */
    List<String> namesOr(String path, String defaultValue) {
        return Arrays.asList(stringOr(path, defaultValue).split(","));
    }

    boolean hasString(String path, String expected) {
        return expected.equals(values.get(path));
    }

    /**
     * Returns the number, or 0 if the setting is {@code -}.
     *
     * @throws InvalidSettingsException if the setting is missing or not a number
     */
    double decimal(String path) {
        string(path);
        return decimalOr(path, 0);
    }

    /**
     * Returns the number, or the default if the setting is missing or {@code -}.
     *
     * @throws InvalidSettingsException if the setting is not a number
     */
    double decimalOr(String path, double defaultValue) {
        String value = values.get(path);
        if (value == null || value.equals(ABSENT)) {
            return defaultValue;
        }
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw InvalidSettingsException.notANumber(path, value);
        }
    }

    int integer(String path) {
        return (int) decimal(path);
    }

    int integerOr(String path, int defaultValue) {
        return (int) decimalOr(path, defaultValue);
    }

    long micros(String path) {
        return (long) decimal(path);
    }

    long microsOr(String path, long defaultMicros) {
        return (long) decimalOr(path, defaultMicros);
    }

    /** Returns whether the setting is {@code true} or {@code 1}; false if it is absent. */
    boolean flag(String path) {
        String value = values.get(path);
        return value != null && (value.equals("true") || value.equals("1"));
    }
}
