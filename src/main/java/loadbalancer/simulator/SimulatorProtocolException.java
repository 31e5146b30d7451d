package loadbalancer.simulator;

/**
 * Thrown if the input violates the syntax of the simulator protocol or the order of its messages. The host stops,
 * because it can't interpret the input that follows. The message is one line that contains the invalid input.
 */
final class SimulatorProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    SimulatorProtocolException(String message) {
        super(message);
    }
}
