package loadbalancer.decision;

/**
 * Predicts response times, and learns from the observed ones. It learns the speed factor of a machine type, an
 * endpoint's deviation from that factor, the number of cores if endpoints send no load reports, and the work of request
 * classes without cost hints. The HALO paper assumes known speeds (section II); here they are estimated.
 */
final class SpeedEstimator {
    /** Weight of one response in the speed estimates: about ten responses determine an endpoint's speed. */
    private static final double SPEED_GAIN = 0.1;
    /** Weight of one response in the estimates of cores and work; lower because a response says less about them. */
    private static final double CORES_AND_WORK_GAIN = SPEED_GAIN / 4;
    /**
     * Upper bound of the ratio of observed to expected response time. It limits the effect of single responses, because
     * the work of requests has a long-tailed distribution.
     */
    private static final double MAX_OBSERVED_RATIO = 3;
    /**
     * An endpoint that is slower or faster than its machine type by more than this factor forms a group of its own. The
     * factor is greater than the random variation of the estimates.
     */
    private static final double DEVIATION_RATIO = 1.6;
    /** A deviation without observations for this long decays towards 1, so that the endpoint is tried again. */
    private static final long STALE_MICROS = 3_000_000;
    /** Fraction by which a stale deviation approaches 1 each time the routing table is solved. */
    private static final double DECAY_GAIN = 0.02;

    private final PolicySettings settings;
    private final WorkEstimator work;
    private final SlowStart slowStart;

    /** An endpoint's speed factor relative to that of its machine type. */
    static final class Deviation {
        private double ratio = 1;
        /** When the estimator last learned from an attempt at the endpoint. */
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
     * Returns the expected response time of a request on an endpoint that holds {@code load} other requests and serves
     * them in order of arrival.
     *
     * @param workMicros expected work of the request, in microseconds of a standard core
     */
    double expectedResponseMicros(TrackedEndpoint endpoint, double workMicros, double load, long nowMicros) {
        return endpoint.speedFactor()
                * (workMicros + queuedWorkMicros(endpoint, load))
                / slowStart.capacityRatio(endpoint, nowMicros);
    }

    /** Returns the work, in microseconds of a standard core, that one more request would wait for. */
    private double queuedWorkMicros(TrackedEndpoint endpoint, double load) {
        double cores = Math.max(1, endpoint.machineType().cores());
        return Math.max(0, load + 1 - cores) / cores * work.meanWorkMicros();
    }

    /** Returns whether the endpoint deviates so much from its machine type that it forms a group of its own. */
    static boolean isDeviating(TrackedEndpoint endpoint) {
        double ratio = endpoint.deviation.ratio;
        return ratio > DEVIATION_RATIO || ratio * DEVIATION_RATIO < 1;
    }

    /** Decays the deviation of an endpoint without recent observations towards 1. */
    void decayIfStale(TrackedEndpoint endpoint, long nowMicros) {
        Deviation deviation = endpoint.deviation;
        if (nowMicros - deviation.lastObservationMicros > STALE_MICROS) {
            deviation.ratio += DECAY_GAIN * (1 - deviation.ratio);
        }
    }

    /** Learns from the response time of a successful attempt. */
    void learnSuccess(Attempt attempt, long latencyMicros, long nowMicros) {
        TrackedEndpoint endpoint = attempt.endpoint();
        double observedFactor = observedFactor(attempt, latencyMicros);
        double gain = SPEED_GAIN;
        if (!settings.hasLoadReports() && slowStart.capacityRatio(endpoint, nowMicros) >= 1) {
            double queuedFraction = queuedFraction(attempt);
            learnCores(attempt, observedFactor, queuedFraction);
            // The queued fraction of the error is attributed to the cores, only the rest to the speed.
            gain *= 1 - queuedFraction;
        }
        recordObservation(endpoint, nowMicros);
        if (!isDeviating(endpoint)) {
            endpoint.machineType().learnSpeed(observedFactor, gain, SPEED_GAIN);
        }
        endpoint.deviation.ratio *= 1 + gain * relativeError(endpoint, observedFactor);
        if (attempt.request().clientRequest().costHintMicros() <= 0) {
            work.adjustClass(
                    attempt.request().requestClass().name(),
                    CORES_AND_WORK_GAIN * relativeError(endpoint, observedFactor));
        }
    }

    /**
     * Learns from an attempt that ended without a response: a response would have taken at least this long. Learns
     * nothing if the endpoint's speed factor already predicts a longer time.
     */
    void learnTimeout(Attempt attempt, long latencyMicros, long nowMicros) {
        TrackedEndpoint endpoint = attempt.endpoint();
        double observedFactor = observedFactor(attempt, latencyMicros);
        if (observedFactor < endpoint.speedFactor()) {
            return;
        }
        recordObservation(endpoint, nowMicros);
        endpoint.deviation.ratio *= 1 + SPEED_GAIN * relativeError(endpoint, observedFactor);
    }

    /** Returns the speed factor for which the forecast would have equaled the attempt's latency. */
    private static double observedFactor(Attempt attempt, long latencyMicros) {
        return latencyMicros / Math.max(1, attempt.forecast().unitSpeedResponseMicros());
    }

    /**
     * Returns the difference between the observed and the estimated speed factor, relative to the estimate. It is
     * positive if the endpoint is slower than estimated, and bounded above.
     */
    private static double relativeError(TrackedEndpoint endpoint, double observedFactor) {
        return Math.min(MAX_OBSERVED_RATIO, observedFactor / endpoint.speedFactor()) - 1;
    }

    /** Returns the fraction of the attempt's response time, 0 to 1, that it was expected to spend queued. */
    private double queuedFraction(Attempt attempt) {
        double queuedMicros =
                queuedWorkMicros(attempt.endpoint(), attempt.forecast().load());
        return queuedMicros / (queuedMicros + attempt.request().workMicros());
    }

    /** Corrects the number of cores by the queued fraction of the error, because queueing time depends on the cores. */
    private static void learnCores(Attempt attempt, double observedFactor, double queuedFraction) {
        TrackedEndpoint endpoint = attempt.endpoint();
        endpoint.machineType()
                .adjustCores(CORES_AND_WORK_GAIN * queuedFraction * relativeError(endpoint, observedFactor));
    }

    private static void recordObservation(TrackedEndpoint endpoint, long nowMicros) {
        endpoint.deviation.lastObservationMicros = nowMicros;
        endpoint.machineType().recordObservation(nowMicros);
    }
}
