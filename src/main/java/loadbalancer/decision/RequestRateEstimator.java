package loadbalancer.decision;

/**
 * Estimates the requests per second that arrive at this sidecar, with an exponentially weighted moving average, and,
 * with gossip, those that arrive at the fleet: the arrival rate in Eq. (4).
 */
final class RequestRateEstimator {
    /** Time constant of the moving average: the estimate follows a burst within one to two seconds. */
    private static final double TIME_CONSTANT_MICROS = 2_000_000;

    private final PolicySettings settings;
    private final GossipState gossip;
    private final long startedMicros;
    private long lastMeasuredMicros;
    private int arrivals;
    private double localRatePerSecond;

    RequestRateEstimator(PolicySettings settings, GossipState gossip, long nowMicros) {
        this.settings = settings;
        this.gossip = gossip;
        startedMicros = nowMicros;
        lastMeasuredMicros = nowMicros;
    }

    void countArrival() {
        arrivals++;
    }

    /**
     * Updates the moving average with the arrivals since the last call, and summarizes the gossip of the fleet. The
     * weights are normalized by their sum since the start, so that a first request right after the start does not
     * appear as a high rate.
     */
    void measure(long nowMicros) {
        double elapsedMicros = Math.max(1, nowMicros - lastMeasuredMicros);
        double weightBeforeStart = Math.exp((startedMicros - lastMeasuredMicros) / TIME_CONSTANT_MICROS);
        double retainedWeight =
                (1 - weightBeforeStart) / (Math.exp(elapsedMicros / TIME_CONSTANT_MICROS) - weightBeforeStart);
        localRatePerSecond = retainedWeight * localRatePerSecond
                + (1 - retainedWeight) * arrivals * RateMath.MICROS_PER_SECOND / elapsedMicros;
        arrivals = 0;
        lastMeasuredMicros = nowMicros;
        gossip.summarize(nowMicros, settings.localZoneIndex(), localRatePerSecond);
    }

    /** Returns the requests per second that arrive at this sidecar. */
    double localPerSecond() {
        return localRatePerSecond;
    }

    /**
     * Returns the requests per second that arrive at the fleet: the mean over this sidecar and its live peers,
     * multiplied by the number of sidecars.
     */
    double fleetPerSecond() {
        double meanRatePerSecond = gossip.meanRatePerSecond();
        return settings.sidecarCount() * (meanRatePerSecond > 0 ? meanRatePerSecond : localRatePerSecond);
    }
}
