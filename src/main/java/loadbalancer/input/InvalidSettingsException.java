package loadbalancer.input;

/** Settings that can't be used; the message names the setting and says what is wrong with it. */
public final class InvalidSettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** {@code message} is one line for the operator. */
    public InvalidSettingsException(String message) {
        super(message);
    }
}
