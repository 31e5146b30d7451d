package loadbalancer.simulator;

/**
 * Input that does not follow the wire's syntax or order. The host ends with it, since what follows can't be
 * interpreted. The message is one line that shows the offending part.
 */
final class SimulatorProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    SimulatorProtocolException(String message) {
        super(message);
    }
}
