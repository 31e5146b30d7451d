package loadbalancer.decision;

/** Sends health checks, one at a time to each endpoint, and tracks which endpoints are unresponsive. */
final class HealthChecks {
    /** A health check may be sent again when the last one has had no outcome for this long. */
    private static final long RESEND_MICROS = 100_000;
    /** An endpoint counts as unresponsive for this long after it was found not to have replied to a health check. */
    private static final long UNRESPONSIVE_MICROS = 100_000;

    private final LoadBalancerActions actions;

    /** The times of the health checks of one endpoint. */
    static final class CheckTimes {
        /** When the health check that has no outcome yet was sent; 0 if there is none. */
        private long sentMicros;
        /** When the endpoint was last found not to have replied to a health check for an overdue attempt. */
        private long lastMissingReplyMicros = RateMath.NEVER_MICROS;
    }

    HealthChecks(LoadBalancerActions actions) {
        this.actions = actions;
    }

    /** Sends a health check, unless one that was sent recently has no outcome yet. */
    void check(long nowMicros, TrackedEndpoint endpoint) {
        if (nowMicros - endpoint.healthChecks.sentMicros > RESEND_MICROS) {
            endpoint.healthChecks.sentMicros = nowMicros;
            actions.checkHealth(endpoint.id());
        }
    }

    /** Notes that the endpoint's health check has an outcome, successful or not. */
    void onOutcome(TrackedEndpoint endpoint) {
        endpoint.healthChecks.sentMicros = 0;
    }

    /**
     * Marks the endpoint as unresponsive because it has not replied to a health check for an overdue attempt in time.
     */
    void markUnresponsive(long nowMicros, TrackedEndpoint endpoint) {
        endpoint.healthChecks.lastMissingReplyMicros = nowMicros;
    }

    /** Returns whether the endpoint was recently marked as unresponsive and has sent no load report since. */
    static boolean isUnresponsive(TrackedEndpoint endpoint, long nowMicros) {
        long lastMissingReplyMicros = endpoint.healthChecks.lastMissingReplyMicros;
        return lastMissingReplyMicros > endpoint.reportedLoad.reportedMicros()
                && nowMicros - lastMissingReplyMicros < UNRESPONSIVE_MICROS;
    }
}
