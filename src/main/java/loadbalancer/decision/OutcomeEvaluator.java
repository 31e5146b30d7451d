package loadbalancer.decision;

/**
 * Evaluates the outcome of an attempt: decides whether it concerns the connection or the speed, health or load of the
 * endpoint, and updates the estimates.
 */
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

    /** Updates the estimates of the attempt's endpoint, or of the connection if it caused the failure. */
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
                // Low weight, because the connection may be at fault. If the endpoint is dead, the next connect fails.
            case RESET, MALFORMED_RESPONSE -> outliers.recordFailure(
                    nowMicros, endpoint, OutlierDetector.CONNECTION_FAILURE_WEIGHT);
            case CONNECT_FAILED -> evaluateConnectFailure(nowMicros, attempt);
            case REJECTED -> evaluateRejection(nowMicros, attempt);
            default -> {
                // NOT_SENT and INVALID_REQUEST say nothing about the endpoint.
            }
        }
    }

    /**
     * Records a timeout, unless the attempt was lost: one lost request, while others get responses, does not show that
     * the endpoint is slow or failing.
     */
    private void evaluateTimeout(long nowMicros, Attempt attempt, long latencyMicros) {
        if (attempt.isLost(nowMicros)) {
            return;
        }
        speeds.learnTimeout(attempt, latencyMicros, nowMicros);
        outliers.recordFailure(nowMicros, attempt.endpoint(), OutlierDetector.FAILURE_WEIGHT);
    }

    /**
     * Records a failure of the connection if the endpoint responds to other attempts. Otherwise ejects the endpoint,
     * because probably no process is listening.
     */
    private void evaluateConnectFailure(long nowMicros, Attempt attempt) {
        int weight = attempt.isEndpointResponding(nowMicros)
                ? OutlierDetector.CONNECTION_FAILURE_WEIGHT
                : OutlierDetector.EJECTION_WEIGHT;
        outliers.recordFailure(nowMicros, attempt.endpoint(), weight);
    }

    /**
     * Handles a rejection. If the endpoint responds to other attempts, the rejection counts as little as a failure of
     * the connection. If it does not, and this sidecar alone can't have filled its cores, it is shutting down or broken
     * and is ejected for longer. In any case the endpoint is assumed to be full.
     */
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
