package loadbalancer.decision;

/** Handles load reports from responses and health checks, and knows which endpoint reported in the current event. */
final class LoadReportHandler {
    private final EndpointRegistry registry;
    private final LoadEstimator loads;
    private TrackedEndpoint freshEndpoint;
    private long lastReportMicros = RateMath.NEVER_MICROS;

    LoadReportHandler(EndpointRegistry registry, LoadEstimator loads) {
        this.registry = registry;
        this.loads = loads;
    }

    /** Handles a report; one that is null or lacks the requests in flight is ignored. */
    void onReport(String endpointId, LoadReport report, long nowMicros) {
        TrackedEndpoint endpoint = registry.find(endpointId);
        if (endpoint == null || report == null || report.inFlight() < 0) {
            return;
        }
        loads.onReport(endpoint, report, nowMicros);
        lastReportMicros = nowMicros;
        freshEndpoint = endpoint;
        endpoint.machineType().learnCores(report);
    }

    /** The endpoint that reported in the current event, or null. */
    TrackedEndpoint freshEndpoint() {
        return freshEndpoint;
    }

    /** Called at the end of an event. */
    void clearFresh() {
        freshEndpoint = null;
    }

    /** When any endpoint last reported. */
    long lastReportMicros() {
        return lastReportMicros;
    }
}
