package loadbalancer.decision;

/**
 * An endpoint's report of its own load. A value that the endpoint does not report is negative.
 *
 * @param inFlight requests that the endpoint holds, from all sidecars
 * @param queued the requests in flight that wait for a core
 * @param utilization fraction of the CPU time in use, 0 to 1; no rule uses it
 */
public record LoadReport(double inFlight, double queued, double utilization) {
    /** A value that the endpoint does not report. */
    public static final double NOT_REPORTED = -1;
}
