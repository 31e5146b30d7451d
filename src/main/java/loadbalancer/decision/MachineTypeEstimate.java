package loadbalancer.decision;

/**
 * The estimates for all endpoints of one machine type: the speed factor (time for work that takes a standard core one
 * unit; below 1 is faster) and the number of cores. Together they give the service rate of Eq. (4).
 */
final class MachineTypeEstimate {
    /** More responses than this add no confidence to the estimates. */
    private static final int MAX_RESPONSES = 40;
    /** Without responses for this long the speed factor returns towards its least, so that the type is tried again. */
    private static final long STALE_MICROS = 3_000_000;
    /** Step of that return at each solution of the routing table. */
    private static final double RETURN_GAIN = 0.02;
    /** The least speed factor seen is multiplied by this at each solution, so that an early low value is forgotten. */
    private static final double LEAST_GROWTH_RATIO = 1.0005;
    /** The gain of a response falls with their number, down to this part. */
    private static final double LEAST_GAIN_RATIO = 0.25;
    /** A response counts as at most this many times slower than expected: the work of requests has a long tail. */
    private static final double MAX_STEP_RATIO = 3;
    /** Step towards the cores that a load report shows. */
    private static final double REPORTED_CORES_GAIN = 0.3;
    /** Requests; counts in a load report that differ by less are taken as equal. */
    private static final double REPORT_TOLERANCE = 0.5;
    /** The most that one gossip message can weigh. */
    private static final double GOSSIP_GAIN = 0.5;
    /** The number of cores in gossip counts as at most this many times the local estimate. */
    private static final double MAX_GOSSIP_CORES_RATIO = 3;

    private double speedFactor = 1;
    private double leastSpeedFactor = 1;
    private double cores;
    /** Responses behind the estimates. */
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

    /** The estimates in the form in which gossip carries them. */
    GossipMessage.MachineTypeSample sample() {
        return new GossipMessage.MachineTypeSample(speedFactor, cores, Math.min(MAX_RESPONSES, responses));
    }

    /** Notes the time at which an attempt, with or without a response, was learned from. */
    void recordObservation(long nowMicros) {
        lastObservationMicros = nowMicros;
    }

    /**
     * Without recent responses, moves the speed factor towards the least one seen: a type that seems slow gets no
     * requests, so no response could correct the estimate.
     */
    void decayIfStale(long nowMicros) {
        if (nowMicros - lastObservationMicros > STALE_MICROS) {
            speedFactor += RETURN_GAIN * (leastSpeedFactor - speedFactor);
        }
        leastSpeedFactor =
                responses < MAX_RESPONSES ? speedFactor : Math.min(speedFactor, leastSpeedFactor * LEAST_GROWTH_RATIO);
    }

    /**
     * Moves the speed factor towards an observed one; the first responses weigh more.
     *
     * @param observedFactor the response time, relative to the time expected at speed factor 1
     * @param gain weight of this step
     * @param usualGain weight of a step whose response time depends on the speed alone
     */
    void learnSpeed(double observedFactor, double gain, double usualGain) {
        responses++;
        double weight = gain * Math.max(LEAST_GAIN_RATIO, 1 / usualGain / (responses + 1));
        speedFactor *= 1 + weight * (Math.min(MAX_STEP_RATIO, observedFactor / speedFactor) - 1);
    }

    /** Lowers the cores by a relative step, or raises them by a negative one. */
    void adjustCores(double relativeStep) {
        cores = Math.max(1, cores * (1 - relativeStep));
    }

    /** Learns the number of cores from a load report: the requests that run while others are queued. */
    void learnCores(LoadReport report) {
        double running = report.inFlight() - Math.max(0, report.queued());
        boolean saturated = report.queued() >= REPORT_TOLERANCE && running >= REPORT_TOLERANCE;
        if (saturated || running > cores + REPORT_TOLERANCE) {
            cores += REPORTED_CORES_GAIN * (Math.max(1, running) - cores);
        }
    }

    /**
     * Moves the estimates towards those of another sidecar, weighted by the responses behind each. The effect of one
     * message is bounded, so that a wrong one does little harm and later ones correct it.
     */
    void mergePeerEstimate(GossipMessage.MachineTypeSample peer) {
        int peerWeight = Math.min(MAX_RESPONSES, peer.responses());
        if (peer.speedFactor() <= 0 || peerWeight == 0) {
            return;
        }
        double part = GOSSIP_GAIN * peerWeight / (peerWeight + Math.min(MAX_RESPONSES, responses));
        speedFactor += part * (peer.speedFactor() - speedFactor);
        // Cores can be learned only from queued requests, which one of many sidecars seldom has: gossip is needed.
        cores = Math.max(1, cores + part * (Math.min(peer.cores(), MAX_GOSSIP_CORES_RATIO * cores) - cores));
        // Estimates taken from gossip count as half the responses that the sender had.
        responses = Math.max(responses, peerWeight / 2);
    }
}
