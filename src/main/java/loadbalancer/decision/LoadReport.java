package loadbalancer.decision;

/**
 * What an endpoint reports about its load. A value that it does not report is negative.
 *
 * @param inFlight requests that it holds, from all sidecars
 * @param queued requests among them that wait for a core
 * @param utilization part of its processor time in use, 0 to 1; no rule uses it
 */
public record LoadReport(double inFlight, double queued, double utilization) {
    /** A value that the endpoint does not report. */
    public static final double NOT_REPORTED = -1;
}
