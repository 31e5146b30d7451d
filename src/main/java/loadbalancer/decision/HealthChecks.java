package loadbalancer.decision;

/** Sends health checks, one at a time to each endpoint, and knows which endpoints are unresponsive. */
final class HealthChecks {
    /** A health check that has had no outcome for this long may be sent again. */
    private static final long RESEND_MICROS = 100_000;
    /** An endpoint counts as unresponsive for this long after it left a check unanswered. */
    private static final long UNRESPONSIVE_MICROS = 100_000;

    private final LoadBalancerActions actions;

    /** The health checks of one endpoint. */
    static final class Progress {
        /** When the check was sent that has no outcome yet; 0 if there is none. */
        private long sentMicros;
        /** When a check for an overdue attempt was last found unanswered. */
        private long unansweredMicros = RateMath.NEVER_MICROS;
    }

    HealthChecks(LoadBalancerActions actions) {
        this.actions = actions;
    }

    /** Sends a health check, unless one sent recently has no outcome yet. */
    void check(long nowMicros, TrackedEndpoint endpoint) {
        if (nowMicros - endpoint.healthChecks.sentMicros > RESEND_MICROS) {
            endpoint.healthChecks.sentMicros = nowMicros;
            actions.checkHealth(endpoint.id());
        }
    }

    /** Notes that the endpoint's health check has an outcome, also a failed one. */
    void onOutcome(TrackedEndpoint endpoint) {
        endpoint.healthChecks.sentMicros = 0;
    }

    /** Notes that a check for an overdue attempt was not answered in time. */
    void markUnresponsive(long nowMicros, TrackedEndpoint endpoint) {
        endpoint.healthChecks.unansweredMicros = nowMicros;
    }

    /** Whether the endpoint has recently left a check unanswered and has sent no load report since. */
    static boolean isUnresponsive(TrackedEndpoint endpoint, long nowMicros) {
        long unansweredMicros = endpoint.healthChecks.unansweredMicros;
        return unansweredMicros > endpoint.reportedLoad.reportedMicros()
                && nowMicros - unansweredMicros < UNRESPONSIVE_MICROS;
    }
}
