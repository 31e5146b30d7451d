package loadbalancer.decision;

/** Names of the timers that the decision module starts and is called back with. */
final class TimerNames {
    /** Looks through the request queue. */
    static final String QUEUE_SWEEP = "queue-sweep";
    /** Sends gossip to other sidecars. */
    static final String GOSSIP = "gossip";
    /** Polls discovery again after a failed call. */
    static final String DISCOVERY_RETRY = "discovery-retry";
    /** Prefix to a request's id: its attempt is overdue. */
    static final String ATTEMPT_OVERDUE = "attempt-overdue:";
    /** Prefix to a request's id: the health check of an overdue attempt's endpoint should have been answered. */
    static final String HEALTH_CHECK_DUE = "health-check-due:";

    private TimerNames() {}
}
