package loadbalancer.decision;

/**
 * Handles load reports from responses and health checks, and remembers which endpoint reported in the current event.
 */
final class LoadReportHandler {
    private final EndpointRegistry registry;
    private final LoadEstimator loads;
    private TrackedEndpoint reportingEndpoint;
    private long lastReportMicros = RateMath.NEVER_MICROS;

    LoadReportHandler(EndpointRegistry registry, LoadEstimator loads) {
        this.registry = registry;
        this.loads = loads;
    }

    /** Handles a report. Ignores a report that is null, lacks the requests in flight or is from an unknown endpoint. */
    void onReport(String endpointId, LoadReport report, long nowMicros) {
        TrackedEndpoint endpoint = registry.find(endpointId);
        if (endpoint == null || report == null || report.inFlight() < 0) {
            return;
        }
        loads.onReport(endpoint, report, nowMicros);
        lastReportMicros = nowMicros;
        reportingEndpoint = endpoint;
        endpoint.machineType().learnCores(report);
    }

    /** Returns the endpoint that reported in the current event, or null if none did. */
    TrackedEndpoint reportingEndpoint() {
        return reportingEndpoint;
    }

    /**
     * Clears the endpoint that reported in the current event. Called at the end of the events that can contain a load
     * report, but not after the outcome of an attempt that has already ended while its request is still pending.
     */
    void clearReportingEndpoint() {
        reportingEndpoint = null;
    }

    /** Returns when any endpoint last reported, or {@link RateMath#NEVER_MICROS} if none has. */
    long lastReportMicros() {
        return lastReportMicros;
    }
}
