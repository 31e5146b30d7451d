package loadbalancer.decision;

/**
 * Estimates the requests a second that arrive at this sidecar, by an exponentially weighted mean, and, with gossip,
 * those that arrive at the fleet: the arrival rate of Eq. (4).
 */
final class RequestRateEstimator {
    /** Time constant of the mean: the estimate follows a burst within a second or two. */
    private static final double AVERAGING_MICROS = 2_000_000;

    private final PolicySettings settings;
    private final GossipState gossip;
    private final long startedMicros;
    private long measuredMicros;
    private int arrivals;
    private double localRate;

    RequestRateEstimator(PolicySettings settings, GossipState gossip, long nowMicros) {
        this.settings = settings;
        this.gossip = gossip;
        startedMicros = nowMicros;
        measuredMicros = nowMicros;
    }

    void countArrival() {
        arrivals++;
    }

    /**
     * Updates the mean with the arrivals since the last call, and the fleet's figures from gossip. The weights are
     * normalised by their sum since the start, so that a first request right after the start does not count as a high
     * rate.
     */
    void measure(long nowMicros) {
        double passedMicros = Math.max(1, nowMicros - measuredMicros);
        double beforeStart = Math.exp((startedMicros - measuredMicros) / AVERAGING_MICROS);
        double keep = (1 - beforeStart) / (Math.exp(passedMicros / AVERAGING_MICROS) - beforeStart);
        localRate = keep * localRate + (1 - keep) * arrivals * RateMath.MICROS_PER_SECOND / passedMicros;
        arrivals = 0;
        measuredMicros = nowMicros;
        gossip.summarize(nowMicros, settings.localZoneIndex(), localRate);
    }

    /** Requests a second to this sidecar. */
    double localPerSecond() {
        return localRate;
    }

    /** Requests a second to the fleet: the mean of this sidecar and its live peers, times the number of sidecars. */
    double fleetPerSecond() {
        double mean = gossip.meanRatePerSecond();
        return settings.sidecarCount() * (mean > 0 ? mean : localRate);
    }
}
