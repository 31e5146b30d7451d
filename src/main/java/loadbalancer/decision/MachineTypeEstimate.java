package loadbalancer.decision;

/**
 * What is learned of all endpoints of one machine type: the speed factor (time for work that takes a standard core one
 * unit; below 1 is faster) and the cores. Together they give the service rate of Eq. (4).
 */
final class MachineTypeEstimate {
    /** More answers than this add no confidence. */
    private static final int MAX_ANSWERS = 40;
    /** Without answers for this long the speed factor returns towards its best, so that the type is tried again. */
    private static final long STALE_MICROS = 3_000_000;

    private static final double RETURN_GAIN = 0.02;
    /** The least speed factor grows by this at each solution, so that a lucky start does not count for ever. */
    private static final double LEAST_GROWTH_RATIO = 1.0005;
    /** The gain of an answer falls with their number down to this part. */
    private static final double LEAST_GAIN_RATIO = 0.25;
    /** One answer counts as at most this many times slower than expected: costs have long tails. */
    private static final double MAX_STEP_RATIO = 3;

    private static final double REPORTED_CORES_GAIN = 0.3;
    /** The most that one gossip message can weigh. */
    private static final double GOSSIP_GAIN = 0.5;

    private double speedFactor = 1;
    private double leastSpeedFactor = 1;
    private double cores;
    private int answers;
    private long answeredMicros;

    MachineTypeEstimate(double cores) {
        this.cores = cores;
    }

    double speedFactor() {
        return speedFactor;
    }

    double cores() {
        return cores;
    }

    /** The estimates for other sidecars. */
    GossipMessage.MachineTypeSample sample() {
        return new GossipMessage.MachineTypeSample(speedFactor, cores, Math.min(MAX_ANSWERS, answers));
    }

    /** Notes that an answer was learned from. */
    void touch(long nowMicros) {
        answeredMicros = nowMicros;
    }

    /**
     * Without recent answers, moves the speed factor towards the least one seen: a type that seems slow gets no
     * requests that would show otherwise.
     */
    void relax(long nowMicros) {
        if (nowMicros - answeredMicros > STALE_MICROS) {
            speedFactor += RETURN_GAIN * (leastSpeedFactor - speedFactor);
        }
        leastSpeedFactor =
                answers < MAX_ANSWERS ? speedFactor : Math.min(speedFactor, leastSpeedFactor * LEAST_GROWTH_RATIO);
    }

    /**
     * Moves the speed factor towards one that was observed; the first answers weigh more.
     *
     * @param observedFactor the time that an answer took, relative to the time expected at speed factor 1
     * @param gain the step's weight
     * @param usualGain the weight of a step that tells of nothing but speed
     */
    void learnSpeed(double observedFactor, double gain, double usualGain) {
        answers++;
        double weight = gain * Math.max(LEAST_GAIN_RATIO, 1 / usualGain / (answers + 1));
        speedFactor *= 1 + weight * (Math.min(MAX_STEP_RATIO, observedFactor / speedFactor) - 1);
    }

    /** Lowers the cores by a relative step, or raises them by a negative one. */
    void adjustCores(double relativeStep) {
        cores = Math.max(1, cores * (1 - relativeStep));
    }

    /** Learns cores from a load report: as many requests as run while others are queued. */
    void learnCores(LoadReport report) {
        double running = report.inFlight() - Math.max(0, report.queued());
        boolean saturated = report.queued() >= 0.5 && running >= 0.5;
        if (saturated || running > cores + 0.5) {
            cores += REPORTED_CORES_GAIN * (Math.max(1, running) - cores);
        }
    }

    /**
     * Takes in the estimates of another sidecar, by the answers behind each side's. The reach of one message is
     * bounded: a false one moves little, and the next take it back.
     */
    void blend(GossipMessage.MachineTypeSample peer) {
        int peerWeight = Math.min(MAX_ANSWERS, peer.answers());
        if (peer.speedFactor() <= 0 || peerWeight == 0) {
            return;
        }
        double part = GOSSIP_GAIN * peerWeight / (peerWeight + Math.min(MAX_ANSWERS, answers));
        speedFactor += part * (peer.speedFactor() - speedFactor);
        // Cores show only where requests queue, which one of many sidecars seldom meets.
        cores = Math.max(1, cores + part * (Math.min(peer.cores(), MAX_STEP_RATIO * cores) - cores));
        answers = Math.max(answers, peerWeight / 2);
    }
}
