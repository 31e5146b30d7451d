package loadbalancer.proxy.client;

/**
 * A request that the protocol does not allow. The message says what was wrong with it. Thrown for ordinary input, and
 * therefore without a stack trace.
 */
final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidRequestException(String message) {
        super(message, null, false, false);
    }
}
