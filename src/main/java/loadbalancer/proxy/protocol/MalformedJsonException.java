package loadbalancer.proxy.protocol;

/**
 * Thrown if a text is not a JSON object, or if a field of an object is missing or of another kind. The message names
 * the field.
 */
public final class MalformedJsonException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    MalformedJsonException(String message) {
        super(message);
    }

    MalformedJsonException(String message, Throwable cause) {
        super(message, cause);
    }
}
