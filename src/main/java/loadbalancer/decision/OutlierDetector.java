package loadbalancer.decision;

/**
 * Ejects endpoints that fail several times in a row. An ejected endpoint gets no requests for a time that doubles with
 * each ejection, and then one attempt at a time until one succeeds. In panic mode, when more than half of the ready
 * endpoints are ejected or unresponsive, both states are ignored, because failures of most endpoints say little about
 * any single one.
 */
final class OutlierDetector {
    /** An endpoint is ejected when the weights of its failures since the last success add up to this value. */
    static final int EJECTION_WEIGHT = 4;
    /** Weight of a failure that is attributed to the endpoint. */
    static final int FAILURE_WEIGHT = 2;
    /**
     * Weight of a failure that the connection may have caused. An endpoint with only such failures is ejected too,
     * after more of them.
     */
    static final int CONNECTION_FAILURE_WEIGHT = 1;

    private static final long BASE_EJECTION_MICROS = 500_000;
    private static final long MAX_EJECTION_MICROS = 8_000_000;
    /** Upper limit of the left shift of the base ejection time, so that it does not overflow. */
    private static final int MAX_DOUBLINGS = 10;
    /** After a persistent failure, an ejection lasts at least as long as if this many ejections had preceded it. */
    private static final int PERSISTENT_FAILURE_MIN_EJECTIONS = 2;

    private final EndpointRegistry registry;
    private boolean panicMode;

    /** The failures and ejections of one endpoint. */
    static final class FailureHistory {
        /** Sum of the weights of the failures since the last success or ejection. */
        private int failureWeight;
        /** Number of ejections since the last success. */
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
        endpoint.failureHistory.failureWeight = 0;
        endpoint.failureHistory.ejections = 0;
    }

    void recordFailure(long nowMicros, TrackedEndpoint endpoint, int weight) {
        endpoint.failureHistory.failureWeight += weight;
        ejectIfDue(nowMicros, endpoint);
    }

    /**
     * Ejects the endpoint if its failures have reached {@link #EJECTION_WEIGHT} and it is not ejected already. Failures
     * during an ejection count toward the next one.
     */
    void ejectIfDue(long nowMicros, TrackedEndpoint endpoint) {
        FailureHistory history = endpoint.failureHistory;
        if (history.failureWeight >= EJECTION_WEIGHT && nowMicros >= history.ejectedUntilMicros) {
            history.failureWeight = 0;
            long ejectionMicros = BASE_EJECTION_MICROS << Math.min(history.ejections, MAX_DOUBLINGS);
            history.ejectedUntilMicros = nowMicros + Math.min(MAX_EJECTION_MICROS, ejectionMicros);
            history.ejections++;
        }
    }

    /** Records a failure that is expected to last, and ejects the endpoint at once and for longer than usual. */
    void recordPersistentFailure(long nowMicros, TrackedEndpoint endpoint) {
        endpoint.failureHistory.ejections =
                Math.max(PERSISTENT_FAILURE_MIN_EJECTIONS, endpoint.failureHistory.ejections);
        recordFailure(nowMicros, endpoint, EJECTION_WEIGHT);
    }

    static boolean isEjected(TrackedEndpoint endpoint, long nowMicros) {
        return nowMicros < endpoint.failureHistory.ejectedUntilMicros;
    }

    /** Enters or leaves panic mode, depending on how many ready endpoints are ejected or unresponsive. */
    void updatePanicMode(long nowMicros) {
        int unavailable = 0;
        for (TrackedEndpoint endpoint : registry.ready()) {
            if (HealthChecks.isUnresponsive(endpoint, nowMicros) || isEjected(endpoint, nowMicros)) {
                unavailable++;
            }
        }
        panicMode = 2 * unavailable > registry.ready().size();
    }

    /** Returns whether the health of the endpoint allows it to take a request now; always true in panic mode. */
    boolean isAvailable(TrackedEndpoint endpoint, long nowMicros) {
        if (panicMode) {
            return true;
        }
        // After an ejection, the endpoint gets one attempt at a time until one succeeds.
        boolean awaitsTrialOutcome = endpoint.failureHistory.ejections > 0 && endpoint.localInFlight() > 0;
        return !HealthChecks.isUnresponsive(endpoint, nowMicros)
                && !isEjected(endpoint, nowMicros)
                && !awaitsTrialOutcome;
    }
}
