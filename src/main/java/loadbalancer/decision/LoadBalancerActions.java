package loadbalancer.decision;

/**
 * What the decision module may do. Each action takes effect at once, answers nothing and never re-enters the module.
 */
public interface LoadBalancerActions {
    /** Forwards the request to the endpoint; the attempt times out at {@code deadlineMicros}. */
    void sendAttempt(String requestId, String endpointId, long deadlineMicros);

    /** Answers finally that nothing has run, with a time after which to come back; 0 names none. */
    void reject(String requestId, long retryAfterMicros);

    /** Answers finally that the request failed and may have run. */
    void fail(String requestId);

    /** Cancels an attempt in flight. */
    void cancelAttempt(String requestId, int attempt);

    /** Asks the endpoint for a load report. */
    void checkHealth(String endpointId);

    /** Asks discovery for the endpoint list, where lists are polled. */
    void pollEndpoints();

    /** Sends gossip to one sidecar, or to all where {@code sidecarIndex} is -1. Delivery is not guaranteed. */
    void sendGossip(int sidecarIndex, byte[] message);

    /** Closes this sidecar's idle connections to the endpoint. */
    void closeIdleConnections(String endpointId);

    /** Calls {@link LoadBalancer#onTimer} with the name after the delay. */
    void startTimer(String timerName, long delayMicros);

    /** Writes a line to the log. */
    void log(String text);
}
