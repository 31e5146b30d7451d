package loadbalancer.decision;

/** Names of the timers that the decision module starts; the host passes the name back when the timer fires. */
final class TimerNames {
    /** Starts a sweep of the request queue. */
    static final String QUEUE_SWEEP = "queue-sweep";
    /** Sends gossip to other sidecars. */
    static final String GOSSIP = "gossip";
    /** Polls discovery again after a failed call. */
    static final String DISCOVERY_RETRY = "discovery-retry";
    /** Prefix, followed by a request id: an attempt of the request is overdue. */
    static final String ATTEMPT_OVERDUE = "attempt-overdue:";
    /** Prefix, followed by a request id: the reply to the health check for its overdue attempt is due. */
    static final String HEALTH_CHECK_DUE = "health-check-due:";

    private TimerNames() {}
}
