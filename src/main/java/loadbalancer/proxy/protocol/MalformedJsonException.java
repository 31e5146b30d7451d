package loadbalancer.proxy.protocol;

/**
 * Thrown if text is not a JSON object, or if a field of an object is missing or has another type. The message names the
 * field, if there is one.
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
