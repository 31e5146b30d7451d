package loadbalancer.decision;

/**
 * The estimates for all endpoints of one machine type: the speed factor (service time relative to a standard core;
 * below 1 is faster) and the number of cores. Together they determine the service rate in Eq. (4).
 */
final class MachineTypeEstimate {
    /**
     * From this number of responses on, the weight of the estimates in gossip no longer grows, and the minimum speed
     * factor no longer follows every change of the speed factor.
     */
    private static final int MAX_RESPONSES = 40;
    /**
     * A speed factor without observations for this long decays towards its minimum, so that the type is tried again.
     */
    private static final long STALE_MICROS = 3_000_000;
    /** Fraction by which a stale speed factor approaches its minimum each time the routing table is solved. */
    private static final double DECAY_GAIN = 0.02;
    /**
     * Growth of the minimum speed factor each time the routing table is solved, so that an old minimum is forgotten.
     */
    private static final double MIN_SPEED_FACTOR_GROWTH_RATIO = 1.0005;
    /** The weight of a response decreases with the number of responses, down to this fraction of the gain. */
    private static final double MIN_GAIN_RATIO = 0.25;
    /**
     * Upper bound of the ratio of observed to expected response time. It limits the effect of single responses, because
     * the work of requests has a long-tailed distribution.
     */
    private static final double MAX_OBSERVED_RATIO = 3;
    /** Weight of one load report in the number of cores. */
    private static final double REPORTED_CORES_GAIN = 0.3;
    /** Counts of requests in a load report that differ by less than this are taken as equal. */
    private static final double REPORT_TOLERANCE = 0.5;
    /** Upper bound of the weight of one gossip message. */
    private static final double GOSSIP_GAIN = 0.5;
    /** Upper bound of the number of cores in a gossip message, relative to the local estimate. */
    private static final double MAX_GOSSIP_CORES_RATIO = 3;

    private double speedFactor = 1;
    private double minSpeedFactor = 1;
    private double cores;
    /** Number of responses from which the estimates were learned. */
    private int responses;

    private long lastObservationMicros;

    MachineTypeEstimate(double cores) {
        this.cores = cores;
    }

    double speedFactor() {
        return speedFactor;
    }

    double cores() {
        return cores;
    }

    /** Returns the estimates in the form that is sent in gossip. */
    GossipMessage.MachineTypeSample sample() {
        return new GossipMessage.MachineTypeSample(speedFactor, cores, Math.min(MAX_RESPONSES, responses));
    }

    /** Records the time of an observation: an attempt from which a speed was learned, with or without a response. */
    void recordObservation(long nowMicros) {
        lastObservationMicros = nowMicros;
    }

    /**
     * Decays a speed factor without recent observations towards the minimum: a machine type that is estimated as slow
     * receives no requests, so that no response could correct the estimate. Also updates the minimum.
     */
    void decayIfStale(long nowMicros) {
        if (nowMicros - lastObservationMicros > STALE_MICROS) {
            speedFactor += DECAY_GAIN * (minSpeedFactor - speedFactor);
        }
        minSpeedFactor = responses < MAX_RESPONSES
                ? speedFactor
                : Math.min(speedFactor, minSpeedFactor * MIN_SPEED_FACTOR_GROWTH_RATIO);
    }

    /**
     * Moves the speed factor towards an observed one; the first responses have more weight.
     *
     * @param observedFactor the response time, relative to the time expected at speed factor 1
     * @param gain weight of this response, before the increase for the first responses
     * @param usualGain weight of a response whose time depends on the speed alone
     */
    void learnSpeed(double observedFactor, double gain, double usualGain) {
        responses++;
        double weight = gain * Math.max(MIN_GAIN_RATIO, 1 / usualGain / (responses + 1));
        speedFactor *= 1 + weight * (Math.min(MAX_OBSERVED_RATIO, observedFactor / speedFactor) - 1);
    }

    /** Decreases the number of cores by a relative step, or increases it if the step is negative. */
    void adjustCores(double relativeStep) {
        cores = Math.max(1, cores * (1 - relativeStep));
    }

    /**
     * Learns the number of cores from a load report. Moves it towards the number of running requests if others are
     * queued or if more requests are running than the estimated number of cores.
     */
    void learnCores(LoadReport report) {
        double running = report.inFlight() - Math.max(0, report.queued());
        boolean saturated = report.queued() >= REPORT_TOLERANCE && running >= REPORT_TOLERANCE;
        if (saturated || running > cores + REPORT_TOLERANCE) {
            cores += REPORTED_CORES_GAIN * (Math.max(1, running) - cores);
        }
    }

    /**
     * Moves the estimates towards those of another sidecar, weighted by the number of responses that each sidecar has
     * learned from. The effect of one message is bounded, so that a wrong message does little harm and later ones
     * correct it.
     */
    void mergePeerEstimate(GossipMessage.MachineTypeSample peer) {
        int peerWeight = Math.min(MAX_RESPONSES, peer.responses());
        if (peer.speedFactor() <= 0 || peerWeight == 0) {
            return;
        }
        double weight = GOSSIP_GAIN * peerWeight / (peerWeight + Math.min(MAX_RESPONSES, responses));
        speedFactor += weight * (peer.speedFactor() - speedFactor);
        // Cores can be learned only from queued requests, which one of many sidecars rarely has, so gossip is needed.
        cores = Math.max(1, cores + weight * (Math.min(peer.cores(), MAX_GOSSIP_CORES_RATIO * cores) - cores));
        // Estimates taken from gossip count as half the responses that the sender had.
        responses = Math.max(responses, peerWeight / 2);
    }
}
