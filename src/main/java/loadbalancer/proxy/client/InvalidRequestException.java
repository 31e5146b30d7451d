package loadbalancer.proxy.client;

/**
 * Thrown for a request that violates the protocol; the message says what was expected. It has no stack trace, because
 * invalid requests are ordinary input.
 */
final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidRequestException(String message) {
        super(message, null, false, false);
    }
}
