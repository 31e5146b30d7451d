package loadbalancer.decision;

/** Keeps the request rates, panic mode, the subset and the routing table current; asked before each decision. */
final class RoutingRefresh {
    /** Well under the seconds in which speeds and rates change. */
    private static final long INTERVAL_MICROS = 100_000;

    private final RequestRateEstimator rates;
    private final EstimateLog log;
    private final OutlierDetector outliers;
    private final EndpointSubset subset;
    private final RoutingTable routing;
    private long refreshedMicros;

    RoutingRefresh(
            RequestRateEstimator rates,
            EstimateLog log,
            OutlierDetector outliers,
            EndpointSubset subset,
            RoutingTable routing) {
        this.rates = rates;
        this.log = log;
        this.outliers = outliers;
        this.subset = subset;
        this.routing = routing;
    }

    /** Makes the next {@link #refresh} solve anew. */
    void invalidate(long nowMicros) {
        refreshedMicros = nowMicros - INTERVAL_MICROS;
    }

    /** Solves anew where the last solution is old. */
    void refresh(long nowMicros) {
        if (nowMicros - refreshedMicros < INTERVAL_MICROS) {
            return;
        }
        refreshedMicros = nowMicros;
        rates.measure(nowMicros);
        log.writeIfDue(nowMicros);
        outliers.updatePanicMode(nowMicros);
        subset.update(nowMicros);
        routing.solve(nowMicros);
    }
}
