package loadbalancer.simulator;

/**
 * Input that violates the syntax or order of the wire. The host stops, since it can't interpret the following input.
 * The message is one line that shows the invalid part.
 */
final class SimulatorProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    SimulatorProtocolException(String message) {
        super(message);
    }
}
