package loadbalancer.decision;

/** Decides what an attempt's outcome says of its endpoint: of its speed, its health, its load or its connection. */
final class OutcomeEvaluator {
    private final IdleConnectionGuard idleConnections;
    private final SpeedEstimator speeds;
    private final OutlierDetector outliers;
    private final LoadEstimator loads;

    OutcomeEvaluator(
            IdleConnectionGuard idleConnections, SpeedEstimator speeds, OutlierDetector outliers, LoadEstimator loads) {
        this.idleConnections = idleConnections;
        this.speeds = speeds;
        this.outliers = outliers;
        this.loads = loads;
    }

    void evaluate(long nowMicros, Attempt attempt, AttemptOutcome outcome, long latencyMicros) {
        TrackedEndpoint endpoint = attempt.endpoint();
        if (idleConnections.isConnectionFailure(nowMicros, attempt, outcome)) {
            return;
        }
        switch (outcome) {
            case OK -> {
                outliers.recordSuccess(endpoint);
                speeds.learnSuccess(attempt, latencyMicros, nowMicros);
            }
            case TIMEOUT -> evaluateTimeout(nowMicros, attempt, latencyMicros);
            case CANCELLED -> {
                speeds.learnTimeout(attempt, latencyMicros, nowMicros);
                outliers.ejectIfDue(nowMicros, endpoint);
            }
            case ERROR -> outliers.recordFailure(nowMicros, endpoint, OutlierDetector.FAILURE_WEIGHT);
                // As often the connection's failure: an endpoint whose process died refuses the next connection.
            case RESET, MALFORMED_RESPONSE -> outliers.recordFailure(
                    nowMicros, endpoint, OutlierDetector.CONNECTION_FAILURE_WEIGHT);
            case CONNECT_FAILED -> evaluateConnectFailure(nowMicros, attempt);
            case REJECTED -> evaluateRejection(nowMicros, attempt);
            default -> {}
        }
    }

    /** One lost request among answered ones shows neither a slow nor a failing endpoint. */
    private void evaluateTimeout(long nowMicros, Attempt attempt, long latencyMicros) {
        if (attempt.isLost(nowMicros)) {
            return;
        }
        speeds.learnTimeout(attempt, latencyMicros, nowMicros);
        outliers.recordFailure(nowMicros, attempt.endpoint(), OutlierDetector.FAILURE_WEIGHT);
    }

    /** The connection's failure where the endpoint answers others; else nothing listens there. */
    private void evaluateConnectFailure(long nowMicros, Attempt attempt) {
        int weight = attempt.isEndpointAnswering(nowMicros)
                ? OutlierDetector.CONNECTION_FAILURE_WEIGHT
                : OutlierDetector.EJECTION_WEIGHT;
        outliers.recordFailure(nowMicros, attempt.endpoint(), weight);
    }

    /** An endpoint that rejects while it holds little, and answers no others, is on its way out or broken. */
    private void evaluateRejection(long nowMicros, Attempt attempt) {
        TrackedEndpoint endpoint = attempt.endpoint();
        if (attempt.isEndpointAnswering(nowMicros)) {
            outliers.recordFailure(nowMicros, endpoint, OutlierDetector.CONNECTION_FAILURE_WEIGHT);
        } else if (endpoint.localInFlight() < endpoint.machineType().cores()) {
            outliers.recordPersistentFailure(nowMicros, endpoint);
        }
        loads.assumeFull(endpoint, nowMicros);
    }
}
