package loadbalancer.decision;

/**
 * Ejects endpoints that fail several times in a row: they are not drawn for a time that doubles with each ejection, and
 * then get one attempt at a time until one succeeds. In panic mode, when more than half of the ready endpoints are
 * ejected or unresponsive, both are ignored: failures of most endpoints say little about a single one.
 */
final class OutlierDetector {
    /** An endpoint is ejected when its failures since the last success add up to this weight. */
    static final int EJECTION_WEIGHT = 4;
    /** Weight of a failure of the endpoint. */
    static final int FAILURE_WEIGHT = 2;
    /** Weight of a failure that may be the connection's; an endpoint with only such failures is ejected too. */
    static final int CONNECTION_FAILURE_WEIGHT = 1;

    private static final long BASE_EJECTION_MICROS = 500_000;
    private static final long MAX_EJECTION_MICROS = 8_000_000;
    /** Limits the shift of the base time. */
    private static final int MAX_DOUBLINGS = 10;
    /** After a persistent failure an ejection lasts as long as if there had been this many before it. */
    private static final int PERSISTENT_EJECTIONS = 2;

    private final EndpointRegistry registry;
    private boolean panicMode;

    /** The failures of one endpoint. */
    static final class Health {
        /** Sum of the weights of the failures since the last success or ejection. */
        private int failureWeight;
        /** Ejections since the last success. */
        private int ejections;

        private long ejectedUntilMicros;

        void reset() {
            failureWeight = 0;
            ejections = 0;
            ejectedUntilMicros = 0;
        }
    }

    OutlierDetector(EndpointRegistry registry) {
        this.registry = registry;
    }

    void recordSuccess(TrackedEndpoint endpoint) {
        endpoint.health.failureWeight = 0;
        endpoint.health.ejections = 0;
    }

    void recordFailure(long nowMicros, TrackedEndpoint endpoint, int weight) {
        endpoint.health.failureWeight += weight;
        ejectIfDue(nowMicros, endpoint);
    }

    /** Ejects the endpoint if its failures weigh enough and it is not ejected; those during an ejection count too. */
    void ejectIfDue(long nowMicros, TrackedEndpoint endpoint) {
        Health health = endpoint.health;
        if (health.failureWeight >= EJECTION_WEIGHT && nowMicros >= health.ejectedUntilMicros) {
            health.failureWeight = 0;
            long ejectionMicros = BASE_EJECTION_MICROS << Math.min(health.ejections, MAX_DOUBLINGS);
            health.ejectedUntilMicros = nowMicros + Math.min(MAX_EJECTION_MICROS, ejectionMicros);
            health.ejections++;
        }
    }

    /** Records a failure that is expected to last: the endpoint is ejected at once, and for longer. */
    void recordPersistentFailure(long nowMicros, TrackedEndpoint endpoint) {
        endpoint.health.ejections = Math.max(PERSISTENT_EJECTIONS, endpoint.health.ejections);
        recordFailure(nowMicros, endpoint, EJECTION_WEIGHT);
    }

    static boolean isEjected(TrackedEndpoint endpoint, long nowMicros) {
        return nowMicros < endpoint.health.ejectedUntilMicros;
    }

    /** Enters or leaves panic mode. */
    void updatePanicMode(long nowMicros) {
        int out = 0;
        for (TrackedEndpoint endpoint : registry.ready()) {
            if (HealthChecks.isUnresponsive(endpoint, nowMicros) || isEjected(endpoint, nowMicros)) {
                out++;
            }
        }
        panicMode = 2 * out > registry.ready().size();
    }

    /** Whether the endpoint's health lets it take a request now. */
    boolean isAvailable(TrackedEndpoint endpoint, long nowMicros) {
        if (panicMode) {
            return true;
        }
        // After an ejection, one attempt at a time until one succeeds.
        boolean onTrial = endpoint.health.ejections > 0 && endpoint.localInFlight() > 0;
        return !HealthChecks.isUnresponsive(endpoint, nowMicros) && !isEjected(endpoint, nowMicros) && !onTrial;
    }
}
