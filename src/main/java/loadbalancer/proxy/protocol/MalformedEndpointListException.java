package loadbalancer.proxy.protocol;

/** Thrown if text or a JSON object is not an endpoint list. The message describes the first error. */
public final class MalformedEndpointListException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    MalformedEndpointListException(IllegalArgumentException cause) {
        super(cause.getMessage(), cause);
    }
}
