package loadbalancer.decision;

/** Names of the timers that the decision module starts; the host passes them back when a timer is due. */
final class TimerNames {
    /** Checks the request queue. */
    static final String QUEUE_SWEEP = "queue-sweep";
    /** Sends gossip to other sidecars. */
    static final String GOSSIP = "gossip";
    /** Polls discovery again after a failed call. */
    static final String DISCOVERY_RETRY = "discovery-retry";
    /** Followed by a request's id: its attempt is overdue. */
    static final String ATTEMPT_OVERDUE = "attempt-overdue:";
    /** Followed by a request's id: the health check for its overdue attempt should have been answered. */
    static final String HEALTH_CHECK_DUE = "health-check-due:";

    private TimerNames() {}
}
