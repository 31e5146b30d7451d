package loadbalancer.decision;

/** A load report; a value that the site does not report is negative. */
public record LoadReport(double inFlight, double queued, double utilization) {}
