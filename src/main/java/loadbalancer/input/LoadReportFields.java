package loadbalancer.input;

import loadbalancer.decision.LoadReport;

/**
 * Collects the values of one load report by their outside names and builds the report. The simulator and the endpoints'
 * HTTP header use different names for the same value; both are mapped here. Not thread-safe.
 */
public final class LoadReportFields {
    private double inFlight = LoadReport.NOT_REPORTED;
    private double queued = LoadReport.NOT_REPORTED;
    private double utilization = LoadReport.NOT_REPORTED;

    /**
     * Takes one value. A later value of the same meaning replaces an earlier one; unknown names are skipped.
     *
     * @param name the value's outside name
     * @param value a count or ratio; negative if it is not reported
     */
    public void put(String name, double value) {
        switch (name) {
            case "busy_reqs", "inflight" -> inFlight = value;
            case "pending", "queue" -> queued = value;
            case "cpu_share", "util" -> utilization = value;
            default -> {}
        }
    }

    /** The report of the values so far; a value that was not put is negative. */
    public LoadReport report() {
        return new LoadReport(inFlight, queued, utilization);
    }
}
