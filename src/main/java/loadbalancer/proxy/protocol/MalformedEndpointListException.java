package loadbalancer.proxy.protocol;

/** Thrown if a text is not an endpoint list. The message says what is wrong with it. */
public final class MalformedEndpointListException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    MalformedEndpointListException(IllegalArgumentException cause) {
        super(cause.getMessage(), cause);
    }
}
