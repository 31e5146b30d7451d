package loadbalancer.decision;

/**
 * Updates the request rates, panic mode, the endpoint subset and the routing table if they are out of date, and writes
 * the regular log line of the estimates. Called before a request is admitted and before an endpoint is selected for it.
 */
final class RoutingRefresher {
    /** Short compared with the seconds within which speeds and rates change. */
    private static final long INTERVAL_MICROS = 100_000;

    private final RequestRateEstimator rates;
    private final EstimateLog log;
    private final OutlierDetector outliers;
    private final EndpointSubset subset;
    private final RoutingTable routingTable;
    private long lastRefreshMicros;

    RoutingRefresher(
            RequestRateEstimator rates,
            EstimateLog log,
            OutlierDetector outliers,
            EndpointSubset subset,
            RoutingTable routingTable) {
        this.rates = rates;
        this.log = log;
        this.outliers = outliers;
        this.subset = subset;
        this.routingTable = routingTable;
    }

    /** Makes the next {@link #refreshIfDue} update everything, even if the last update is recent. */
    void invalidate(long nowMicros) {
        lastRefreshMicros = nowMicros - INTERVAL_MICROS;
    }

    /** Updates everything if the interval since the last update has elapsed. */
    void refreshIfDue(long nowMicros) {
        if (nowMicros - lastRefreshMicros < INTERVAL_MICROS) {
            return;
        }
        lastRefreshMicros = nowMicros;
        rates.measure(nowMicros);
        log.writeIfDue(nowMicros);
        outliers.updatePanicMode(nowMicros);
        subset.update(nowMicros);
        routingTable.solve(nowMicros);
    }
}
