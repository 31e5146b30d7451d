package loadbalancer.decision;

/** Sends health checks, one at a time to an endpoint, and knows which endpoints left an urgent one unanswered. */
final class HealthChecks {
    /** A health check without an answer for this long may be sent again, and the endpoint is tried again. */
    private static final long TIMEOUT_MICROS = 100_000;

    private final LoadBalancerActions actions;

    /** The health checks of one endpoint. */
    static final class Progress {
        /** When a check was sent that has no answer yet; 0 where there is none. */
        private long sentMicros;

        private long unansweredMicros = Long.MIN_VALUE / 2;
    }

    HealthChecks(LoadBalancerActions actions) {
        this.actions = actions;
    }

    /** Asks for a load report, unless one has just been asked for. */
    void check(long nowMicros, TrackedEndpoint endpoint) {
        if (nowMicros - endpoint.healthChecks.sentMicros > TIMEOUT_MICROS) {
            endpoint.healthChecks.sentMicros = nowMicros;
            actions.checkHealth(endpoint.id());
        }
    }

    void onAnswer(TrackedEndpoint endpoint) {
        endpoint.healthChecks.sentMicros = 0;
    }

    /** Notes that a check sent for an overdue attempt was not answered soon. */
    void markUnresponsive(long nowMicros, TrackedEndpoint endpoint) {
        endpoint.healthChecks.unansweredMicros = nowMicros;
    }

    /** Whether the endpoint has left a check unanswered, not long ago, and has not reported since. */
    static boolean isUnresponsive(TrackedEndpoint endpoint, long nowMicros) {
        long unansweredMicros = endpoint.healthChecks.unansweredMicros;
        return unansweredMicros > endpoint.reportedLoad.reportedMicros()
                && nowMicros - unansweredMicros < TIMEOUT_MICROS;
    }
}
