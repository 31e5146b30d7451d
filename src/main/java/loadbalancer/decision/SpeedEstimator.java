package loadbalancer.decision;

/**
 * Learns from response times and predicts them. It learns the speed factor of a machine type, an endpoint's deviation
 * from it, the number of cores where no load report shows it, and the work of request classes without cost hints. The
 * paper assumes known speeds (section II); here they are estimated.
 */
final class SpeedEstimator {
    /** Step towards each observation: about ten responses determine an endpoint's speed. */
    private static final double SPEED_GAIN = 0.1;
    /** Cores and work are learned more slowly, as each response says less about them. */
    private static final double SLOW_GAIN = SPEED_GAIN / 4;
    /** A response counts as at most this many times slower than expected: the work of requests has a long tail. */
    private static final double MAX_STEP_RATIO = 3;
    /** An endpoint this many times slower or faster than its machine type is a group of its own; more than noise. */
    private static final double DEVIATION_RATIO = 1.6;
    /** Without responses for this long a deviation returns towards 1, so that the endpoint is tried again. */
    private static final long STALE_MICROS = 3_000_000;
    /** Step of that return at each solution of the routing table. */
    private static final double RETURN_GAIN = 0.02;

    private final PolicySettings settings;
    private final WorkEstimator work;
    private final SlowStart slowStart;

    /** An endpoint's speed factor relative to that of its machine type. */
    static final class Deviation {
        private double ratio = 1;
        /** When it was last learned from an attempt. */
        private long lastObservationMicros;

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

    /**
     * Expected response time of work on an endpoint that holds {@code load} other requests, first come first served.
     */
    double expectedResponseMicros(TrackedEndpoint endpoint, double workMicros, double load, long nowMicros) {
        return endpoint.speedFactor()
                * (workMicros + queuedWorkMicros(endpoint, load))
                / slowStart.capacityRatio(endpoint, nowMicros);
    }

    /** Work of standard cores that one more request would wait for. */
    private double queuedWorkMicros(TrackedEndpoint endpoint, double load) {
        double cores = Math.max(1, endpoint.machineType().cores());
        return Math.max(0, load + 1 - cores) / cores * work.meanWorkMicros();
    }

    /** Whether the endpoint differs so much from its machine type that it is a group of its own. */
    static boolean isDeviating(TrackedEndpoint endpoint) {
        double ratio = endpoint.deviation.ratio;
        return ratio > DEVIATION_RATIO || ratio * DEVIATION_RATIO < 1;
    }

    /** Lets the deviation of an endpoint without recent responses return towards 1. */
    void decayIfStale(TrackedEndpoint endpoint, long nowMicros) {
        Deviation deviation = endpoint.deviation;
        if (nowMicros - deviation.lastObservationMicros > STALE_MICROS) {
            deviation.ratio += RETURN_GAIN * (1 - deviation.ratio);
        }
    }

    /** Learns from the response time of a successful attempt. */
    void learnSuccess(Attempt attempt, long latencyMicros, long nowMicros) {
        TrackedEndpoint endpoint = attempt.endpoint();
        double observedFactor = observedFactor(attempt, latencyMicros);
        double gain = SPEED_GAIN;
        if (!settings.hasLoadReports() && slowStart.capacityRatio(endpoint, nowMicros) >= 1) {
            double queuedPart = queuedPart(attempt);
            learnCores(attempt, observedFactor, queuedPart);
            gain *= 1 - queuedPart;
        }
        recordObservation(endpoint, nowMicros);
        if (!isDeviating(endpoint)) {
            endpoint.machineType().learnSpeed(observedFactor, gain, SPEED_GAIN);
        }
        endpoint.deviation.ratio *= 1 + gain * excess(endpoint, observedFactor);
        if (attempt.request().clientRequest().costHintMicros() <= 0) {
            work.adjustClass(attempt.request().requestClass().name(), SLOW_GAIN * excess(endpoint, observedFactor));
        }
    }

    /**
     * Learns from an attempt that ended without a response: one would have taken at least this long. Learns nothing if
     * the endpoint's speed factor already predicts a longer time.
     */
    void learnTimeout(Attempt attempt, long latencyMicros, long nowMicros) {
        TrackedEndpoint endpoint = attempt.endpoint();
        double observedFactor = observedFactor(attempt, latencyMicros);
        if (observedFactor < endpoint.speedFactor()) {
            return;
        }
        recordObservation(endpoint, nowMicros);
        endpoint.deviation.ratio *= 1 + SPEED_GAIN * excess(endpoint, observedFactor);
    }

    /** The speed factor at which the attempt would have been expected to take as long as it did. */
    private static double observedFactor(Attempt attempt, long latencyMicros) {
        return latencyMicros / Math.max(1, attempt.forecast().unitSpeedResponseMicros());
    }

    /** How much slower than estimated, relative to the estimate; negative if faster; bounded above. */
    private static double excess(TrackedEndpoint endpoint, double observedFactor) {
        return Math.min(MAX_STEP_RATIO, observedFactor / endpoint.speedFactor()) - 1;
    }

    /** The part of the attempt's response time, 0 to 1, that it was expected to spend in the endpoint's queue. */
    private double queuedPart(Attempt attempt) {
        double queuedMicros =
                queuedWorkMicros(attempt.endpoint(), attempt.forecast().load());
        return queuedMicros / (queuedMicros + attempt.request().workMicros());
    }

    /** Time in the queue depends on the number of cores: corrects it by that part of the excess. */
    private static void learnCores(Attempt attempt, double observedFactor, double queuedPart) {
        TrackedEndpoint endpoint = attempt.endpoint();
        endpoint.machineType().adjustCores(SLOW_GAIN * queuedPart * excess(endpoint, observedFactor));
    }

    private static void recordObservation(TrackedEndpoint endpoint, long nowMicros) {
        endpoint.deviation.lastObservationMicros = nowMicros;
        endpoint.machineType().recordObservation(nowMicros);
    }
}
