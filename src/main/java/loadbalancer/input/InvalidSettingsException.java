package loadbalancer.input;

/**
 * Thrown if a setting is missing or malformed. The message is one line for the operator: it contains the path of the
 * setting, the problem with its value, and the correction to make.
 */
public final class InvalidSettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String setting;

    private InvalidSettingsException(String setting, String problem, String remedy) {
        super("setting '" + setting + "' " + problem + "; " + remedy);
        this.setting = setting;
    }

    static InvalidSettingsException missing(String setting) {
        return new InvalidSettingsException(setting, "is missing", "add it to the settings");
    }

    static InvalidSettingsException notANumber(String setting, String value) {
        return new InvalidSettingsException(setting, "is not a number: '" + value + "'", "write a decimal number");
    }

    /** Returns an exception for a value that is not one of the permitted {@code names}, separated by commas. */
    static InvalidSettingsException unknownName(String setting, String value, String names) {
        return new InvalidSettingsException(setting, "has an unknown value: '" + value + "'", "write one of " + names);
    }

    /** Returns the path of the invalid setting, for example {@code rules.drain_grace_us}. */
    public String setting() {
        return setting;
    }
}
