package loadbalancer.simulator;

/** Input that does not follow the wire; the message is meant for a person. */
public final class SimulatorProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public SimulatorProtocolException(String message) {
        super(message);
    }
}
