package loadbalancer.decision;

/**
 * The actions that the decision module can order. The module counts each as done when the method returns; an action
 * returns no result and must not call the module back. Later results are reported as events.
 */
public interface LoadBalancerActions {
    /** Receiver index of a gossip message to all other sidecars. */
    int ALL_SIDECARS = -1;

    /** Forwards the request to the endpoint; the attempt times out at {@code deadlineMicros}. */
    void sendAttempt(String requestId, String endpointId, long deadlineMicros);

    /**
     * Sends the final response that no endpoint has run the request.
     *
     * @param retryAfterMicros time after which the client should retry; 0 if none is given
     */
    void reject(String requestId, long retryAfterMicros);

    /** Sends the final response that the request has failed and may have run. */
    void fail(String requestId);

    /** Cancels an attempt in flight; no rule orders it yet. */
    void cancelAttempt(String requestId, int attemptNumber);

    /** Asks the endpoint for a load report. */
    void checkHealth(String endpointId);

    /** Asks discovery for the endpoint list, where lists are polled. */
    void pollEndpoints();

    /**
     * Sends gossip to one sidecar, or to all where {@code sidecarIndex} is {@link #ALL_SIDECARS}. Delivery is not
     * guaranteed.
     */
    void sendGossip(int sidecarIndex, byte[] message);

    /** Closes this sidecar's idle connections to the endpoint. */
    void closeIdleConnections(String endpointId);

    /** Calls {@link LoadBalancer#onTimer} with the name after the delay. */
    void startTimer(String timerName, long delayMicros);

    /** Writes a line to the log. */
    void log(String text);
}
