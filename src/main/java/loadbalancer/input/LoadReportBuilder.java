package loadbalancer.input;

import loadbalancer.decision.LoadReport;

/**
 * Builds a load report from values that are given with their external names. The simulator and the endpoints' HTTP
 * header use different names for the same value; this class maps both. Not thread-safe.
 */
public final class LoadReportBuilder {
    private double inFlight = LoadReport.NOT_REPORTED;
    private double queued = LoadReport.NOT_REPORTED;
    private double utilization = LoadReport.NOT_REPORTED;

    /**
     * Sets a value, replacing any earlier one for the same field of the report. Ignores unknown names.
     *
     * @param name external name of the value
     * @param value a count or ratio; negative if the endpoint does not report it
     */
    public void set(String name, double value) {
        switch (name) {
            case "busy_reqs", "inflight" -> inFlight = value;
            case "pending", "queue" -> queued = value;
            case "cpu_share", "util" -> utilization = value;
            default -> {}
        }
    }

    /** Returns a report with the values set so far; a value that has not been set is negative. */
    public LoadReport build() {
        return new LoadReport(inFlight, queued, utilization);
    }
}
