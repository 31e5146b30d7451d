package loadbalancer.decision;

/** What the module may do, each at once and without an answer. */
public interface LoadBalancerActions {
    void sendAttempt(String request, String upstream, long untilUs);

    void reject(String request, long retryAfterUs);

    void fail(String request);

    void cancelAttempt(String request, int attempt);

    void checkHealth(String upstream);

    void pollEndpoints();

    /** A message to the peer of this number. */
    void sendGossip(int peer, byte[] message);

    /** Closes this instance's idle connections to the upstream. */
    void closeIdleConnections(String upstream);

    void startTimer(String mark, long delayUs);

    void log(String text);
}
