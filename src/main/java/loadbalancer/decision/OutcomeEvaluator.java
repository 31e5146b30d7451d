package loadbalancer.decision;

/** Decides what an attempt's outcome shows about its endpoint's speed, health or load, or about the connection. */
final class OutcomeEvaluator {
    private final IdleConnectionPolicy idleConnections;
    private final SpeedEstimator speeds;
    private final OutlierDetector outliers;
    private final LoadEstimator loads;

    OutcomeEvaluator(
            IdleConnectionPolicy idleConnections,
            SpeedEstimator speeds,
            OutlierDetector outliers,
            LoadEstimator loads) {
        this.idleConnections = idleConnections;
        this.speeds = speeds;
        this.outliers = outliers;
        this.loads = loads;
    }

    /** Updates the estimates of the attempt's endpoint. */
    void evaluate(long nowMicros, Attempt attempt, AttemptOutcome outcome, long latencyMicros) {
        TrackedEndpoint endpoint = attempt.endpoint();
        if (idleConnections.recordOutcome(nowMicros, attempt, outcome)) {
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
                // Low weight, as the connection may be at fault; a dead endpoint then fails the next connect.
            case RESET, MALFORMED_RESPONSE -> outliers.recordFailure(
                    nowMicros, endpoint, OutlierDetector.CONNECTION_FAILURE_WEIGHT);
            case CONNECT_FAILED -> evaluateConnectFailure(nowMicros, attempt);
            case REJECTED -> evaluateRejection(nowMicros, attempt);
            default -> {}
        }
    }

    /** A single lost request, while others get responses, shows neither a slow nor a failing endpoint. */
    private void evaluateTimeout(long nowMicros, Attempt attempt, long latencyMicros) {
        if (attempt.isLost(nowMicros)) {
            return;
        }
        speeds.learnTimeout(attempt, latencyMicros, nowMicros);
        outliers.recordFailure(nowMicros, attempt.endpoint(), OutlierDetector.FAILURE_WEIGHT);
    }

    /** Blames the connection if the endpoint responds to other attempts; else no process listens, so it is ejected. */
    private void evaluateConnectFailure(long nowMicros, Attempt attempt) {
        int weight = attempt.isEndpointResponding(nowMicros)
                ? OutlierDetector.CONNECTION_FAILURE_WEIGHT
                : OutlierDetector.EJECTION_WEIGHT;
        outliers.recordFailure(nowMicros, attempt.endpoint(), weight);
    }

    /** An endpoint that rejects although it has free cores, and responds to no other attempt, is leaving or broken. */
    private void evaluateRejection(long nowMicros, Attempt attempt) {
        TrackedEndpoint endpoint = attempt.endpoint();
        if (attempt.isEndpointResponding(nowMicros)) {
            outliers.recordFailure(nowMicros, endpoint, OutlierDetector.CONNECTION_FAILURE_WEIGHT);
        } else if (endpoint.localInFlight() < endpoint.machineType().cores()) {
            outliers.recordPersistentFailure(nowMicros, endpoint);
        }
        loads.assumeFull(endpoint, nowMicros);
    }
}
