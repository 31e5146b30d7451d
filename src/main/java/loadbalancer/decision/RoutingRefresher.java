package loadbalancer.decision;

/**
 * Updates the request rates, panic mode, the subset and the routing table when they are out of date, and writes the
 * regular log line of the estimates. Called before each decision.
 */
final class RoutingRefresher {
    /** Speeds and rates change within seconds; this is short against that. */
    private static final long INTERVAL_MICROS = 100_000;

    private final RequestRateEstimator rates;
    private final EstimateLog log;
    private final OutlierDetector outliers;
    private final EndpointSubset subset;
    private final RoutingTable routingTable;
    private long refreshedMicros;

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

    /** Makes the next {@link #refreshIfDue} update, however recent the last update is. */
    void invalidate(long nowMicros) {
        refreshedMicros = nowMicros - INTERVAL_MICROS;
    }

    /** Updates everything if the last update is older than the interval. */
    void refreshIfDue(long nowMicros) {
        if (nowMicros - refreshedMicros < INTERVAL_MICROS) {
            return;
        }
        refreshedMicros = nowMicros;
        rates.measure(nowMicros);
        log.writeIfDue(nowMicros);
        outliers.updatePanicMode(nowMicros);
        subset.update(nowMicros);
        routingTable.solve(nowMicros);
    }
}
