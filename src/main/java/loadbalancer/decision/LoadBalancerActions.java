package loadbalancer.decision;

/**
 * The actions that the decision module requests from its host. The module regards each action as done when the method
 * returns. An action returns no result and must not call the module back; later results are reported as events.
 */
public interface LoadBalancerActions {
    /** Index that stands for all other sidecars in {@link #sendGossip}. */
    int ALL_SIDECARS = -1;

    /**
     * Forwards the request to the endpoint; the attempt times out at {@code deadlineMicros}, or at the deadline of the
     * request if that is earlier. The attempts of a request are numbered from 0 in the order of these calls.
     */
    void sendAttempt(String requestId, String endpointId, long deadlineMicros);

    /**
     * Sends a rejection as the final response of a request that no endpoint has executed.
     *
     * @param retryAfterMicros time after which the client should retry; 0 if the response states no time
     */
    void reject(String requestId, long retryAfterMicros);

    /** Sends a failure as the final response of a request that an endpoint may have executed. */
    void fail(String requestId);

    /** Cancels an attempt in flight; no rule uses it yet. */
    void cancelAttempt(String requestId, int attemptNumber);

    /** Sends the endpoint a health check, which asks for a load report. */
    void checkHealth(String endpointId);

    /** Asks discovery for the endpoint list; called only if lists are polled. */
    void pollEndpoints();

    /**
     * Sends a gossip message to one sidecar, or to all others if {@code sidecarIndex} is {@link #ALL_SIDECARS}.
     * Delivery is not guaranteed.
     */
    void sendGossip(int sidecarIndex, byte[] message);

    /** Closes this sidecar's idle connections to the endpoint. */
    void closeIdleConnections(String endpointId);

    /**
     * Starts a timer that calls {@link LoadBalancer#onTimer} with the name after the delay. Does not replace a running
     * timer with the same name.
     */
    void startTimer(String timerName, long delayMicros);

    /** Writes a line to the log. */
    void log(String text);
}
