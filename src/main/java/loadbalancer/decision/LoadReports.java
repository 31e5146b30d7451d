package loadbalancer.decision;

/** Takes load reports of responses and health checks, and knows which endpoint reported in the event at hand. */
final class LoadReports {
    private final EndpointRegistry registry;
    private final LoadEstimator loads;
    private TrackedEndpoint freshEndpoint;
    private long lastReportMicros = Long.MIN_VALUE / 2;

    LoadReports(EndpointRegistry registry, LoadEstimator loads) {
        this.registry = registry;
        this.loads = loads;
    }

    /** Takes a report; null, or one without the requests in flight, says nothing. */
    void take(String endpointId, LoadReport report, long nowMicros) {
        TrackedEndpoint endpoint = registry.find(endpointId);
        if (endpoint == null || report == null || report.inFlight() < 0) {
            return;
        }
        loads.onReport(endpoint, report, nowMicros);
        lastReportMicros = nowMicros;
        freshEndpoint = endpoint;
        endpoint.machineType().learnCores(report);
    }

    /** The endpoint that has just reported, or null. */
    TrackedEndpoint freshEndpoint() {
        return freshEndpoint;
    }

    /** Ends the event: a report from now on is no longer just in. */
    void clearFresh() {
        freshEndpoint = null;
    }

    /** When any endpoint last reported. */
    long lastReportMicros() {
        return lastReportMicros;
    }
}
