package loadbalancer.decision;

/** Handles the outcomes of health checks: updates the health and load of the endpoint, then sends queued requests. */
final class HealthCheckOutcomeHandler {
    private final EndpointRegistry registry;
    private final HealthChecks healthChecks;
    private final OutlierDetector outliers;
    private final LoadEstimator loads;
    private final LoadReportHandler reportHandler;
    private final RequestScheduler scheduler;

    HealthCheckOutcomeHandler(
            EndpointRegistry registry,
            HealthChecks healthChecks,
            OutlierDetector outliers,
            LoadEstimator loads,
            LoadReportHandler reportHandler,
            RequestScheduler scheduler) {
        this.registry = registry;
        this.healthChecks = healthChecks;
        this.outliers = outliers;
        this.loads = loads;
        this.reportHandler = reportHandler;
        this.scheduler = scheduler;
    }

    /**
     * Handles the outcome of one health check. Ignores it if the endpoint is unknown.
     *
     * @param report the load report in the reply, or null if there was none
     */
    void onOutcome(long nowMicros, String endpointId, AttemptOutcome outcome, LoadReport report) {
        TrackedEndpoint endpoint = registry.find(endpointId);
        if (endpoint == null) {
            return;
        }
        healthChecks.onOutcome(endpoint);
        if (outcome != AttemptOutcome.OK) {
            outliers.recordFailure(nowMicros, endpoint, failureWeight(outcome));
        } else if (report == null) {
            loads.assumeFull(endpoint, nowMicros);
        }
        reportHandler.onReport(endpointId, report, nowMicros);
        scheduler.sendQueuedRequests(nowMicros);
        reportHandler.clearReportingEndpoint();
    }

    private static int failureWeight(AttemptOutcome outcome) {
        return switch (outcome) {
            case CONNECT_FAILED -> OutlierDetector.EJECTION_WEIGHT;
            case MALFORMED_RESPONSE -> OutlierDetector.CONNECTION_FAILURE_WEIGHT;
            default -> OutlierDetector.FAILURE_WEIGHT;
        };
    }
}
