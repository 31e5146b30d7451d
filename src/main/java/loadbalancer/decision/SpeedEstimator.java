package loadbalancer.decision;

/**
 * Learns from response times how fast endpoints are and predicts response times: the speed factor of a machine type, an
 * endpoint's deviation from it, the cores where no load report tells them, and the work of request classes without cost
 * hints. The paper assumes known speeds (section II); here they are estimated.
 */
final class SpeedEstimator {
    /** About ten answers tell an endpoint's speed. */
    private static final double SPEED_GAIN = 0.1;
    /** Cores and work are learned more slowly: each answer tells less of them. */
    private static final double SLOW_GAIN = SPEED_GAIN / 4;
    /** One answer counts as at most this many times slower than expected: costs have long tails. */
    private static final double MAX_STEP_RATIO = 3;
    /** An endpoint so many times off its machine type is a group of its own; beyond the noise of the estimates. */
    private static final double DEVIATION_RATIO = 1.6;
    /** Without answers for this long a deviation starts to return, so that the endpoint is tried again. */
    private static final long STALE_MICROS = 3_000_000;

    private static final double RETURN_GAIN = 0.02;

    private final PolicySettings settings;
    private final WorkEstimator work;
    private final SlowStart slowStart;

    /** An endpoint's speed factor relative to that of its machine type. */
    static final class Deviation {
        private double ratio = 1;
        private long answeredMicros;

        double ratio() {
            return ratio;
        }

        void reset() {
            ratio = 1;
        }
    }

    SpeedEstimator(PolicySettings settings, WorkEstimator work, SlowStart slowStart) {
        this.settings = settings;
        this.work = work;
        this.slowStart = slowStart;
    }

    /** Time that work would take on an endpoint that holds {@code load} other requests, served first come first. */
    double expectedMicros(TrackedEndpoint endpoint, double workMicros, double load, long nowMicros) {
        return endpoint.speedFactor()
                * (workMicros + queuedWorkMicros(endpoint, load))
                / slowStart.capacityRatio(endpoint, nowMicros);
    }

    private double queuedWorkMicros(TrackedEndpoint endpoint, double load) {
        double cores = Math.max(1, endpoint.machineType().cores());
        return Math.max(0, load + 1 - cores) / cores * work.meanWorkMicros();
    }

    /** Whether the endpoint differs so much from its machine type that it is no longer counted with it. */
    static boolean isDeviating(TrackedEndpoint endpoint) {
        double ratio = endpoint.deviation.ratio;
        return ratio > DEVIATION_RATIO || ratio * DEVIATION_RATIO < 1;
    }

    /** Lets the deviation of an endpoint without recent answers return towards none. */
    void relax(TrackedEndpoint endpoint, long nowMicros) {
        Deviation deviation = endpoint.deviation;
        if (nowMicros - deviation.answeredMicros > STALE_MICROS) {
            deviation.ratio += RETURN_GAIN * (1 - deviation.ratio);
        }
    }

    /** Learns from the response time of a successful attempt. */
    void learnSuccess(Attempt attempt, long latencyMicros, long nowMicros) {
        TrackedEndpoint endpoint = attempt.endpoint();
        double observedFactor = observedFactor(attempt, latencyMicros);
        double gain = SPEED_GAIN;
        if (!settings.hasLoadReports() && slowStart.capacityRatio(endpoint, nowMicros) >= 1) {
            gain *= 1 - learnCores(attempt, observedFactor);
        }
        touch(endpoint, nowMicros);
        if (!isDeviating(endpoint)) {
            endpoint.machineType().learnSpeed(observedFactor, gain, SPEED_GAIN);
        }
        endpoint.deviation.ratio *= 1 + gain * excess(endpoint, observedFactor);
        if (attempt.request().request().costHintMicros() <= 0) {
            work.adjustClass(attempt.request().requestClass().name(), SLOW_GAIN * excess(endpoint, observedFactor));
        }
    }

    /** Learns from an attempt without answer, which took at least so long; nothing where more was expected. */
    void learnTimeout(Attempt attempt, long latencyMicros, long nowMicros) {
        TrackedEndpoint endpoint = attempt.endpoint();
        double observedFactor = observedFactor(attempt, latencyMicros);
        if (observedFactor < endpoint.speedFactor()) {
            return;
        }
        touch(endpoint, nowMicros);
        endpoint.deviation.ratio *= 1 + SPEED_GAIN * excess(endpoint, observedFactor);
    }

    private static double observedFactor(Attempt attempt, long latencyMicros) {
        return latencyMicros / Math.max(1, attempt.forecast().unitSpeedMicros());
    }

    /** How much longer than expected, relative to that; bounded. */
    private static double excess(TrackedEndpoint endpoint, double observedFactor) {
        return Math.min(MAX_STEP_RATIO, observedFactor / endpoint.speedFactor()) - 1;
    }

    /** Time spent queued tells of cores, the rest of speed. Returns the part of the time that was queued. */
    private double learnCores(Attempt attempt, double observedFactor) {
        TrackedEndpoint endpoint = attempt.endpoint();
        double queuedMicros = queuedWorkMicros(endpoint, attempt.forecast().load());
        double queuedPart = queuedMicros / (queuedMicros + attempt.request().workMicros());
        endpoint.machineType().adjustCores(SLOW_GAIN * queuedPart * excess(endpoint, observedFactor));
        return queuedPart;
    }

    private static void touch(TrackedEndpoint endpoint, long nowMicros) {
        endpoint.deviation.answeredMicros = nowMicros;
        endpoint.machineType().touch(nowMicros);
    }
}
