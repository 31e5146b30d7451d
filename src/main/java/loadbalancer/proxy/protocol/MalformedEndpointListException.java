package loadbalancer.proxy.protocol;

/** A text that is no endpoint list; the message says what is wrong with it. */
public final class MalformedEndpointListException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    MalformedEndpointListException(IllegalArgumentException cause) {
        super(cause.getMessage(), cause);
    }
}
