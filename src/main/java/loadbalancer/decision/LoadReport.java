package loadbalancer.decision;

/**
 * What an endpoint reports of its load. A value that it does not report is negative.
 *
 * @param inFlight requests that it holds, those of all sidecars together
 * @param queued those among them that wait for a core
 * @param utilization part of its processor time in use, 0 to 1
 */
public record LoadReport(double inFlight, double queued, double utilization) {}
