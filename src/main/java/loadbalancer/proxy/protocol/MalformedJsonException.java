package loadbalancer.proxy.protocol;

/** Text that is no JSON object, or an object without a field of the kind that is read; the message names it. */
public final class MalformedJsonException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    MalformedJsonException(String message) {
        super(message);
    }

    MalformedJsonException(String message, Throwable cause) {
        super(message, cause);
    }
}
