package loadbalancer.input;

/**
 * Settings that can't be used because one of them is missing or malformed. The message is one line for the operator: it
 * names the setting by its path, says what is wrong with its value and what to do.
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
        return new InvalidSettingsException(setting, "is no number: '" + value + "'", "write a decimal number");
    }

    /** The value is none of the names that the setting may have; {@code names} lists those. */
    static InvalidSettingsException unknownName(String setting, String value, String names) {
        return new InvalidSettingsException(setting, "is unknown: '" + value + "'", "write one of " + names);
    }

    /** The path of the setting that has to be corrected, for example {@code rules.drain_grace_us}. */
    public String setting() {
        return setting;
    }
}
