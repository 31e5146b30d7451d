package loadbalancer.decision;

/** Starts the timers after which {@link HedgingPolicy} checks an attempt that is still in flight. */
final class OverdueAttemptTimer {
    /**
     * An endpoint that still holds an overdue attempt is checked again after this fraction of the attempt's forecast
     * response time.
     */
    private static final double RECHECK_RATIO = 0.5;

    private final PolicySettings settings;
    private final AttemptEligibility eligibility;
    private final LoadBalancerActions actions;

    OverdueAttemptTimer(PolicySettings settings, AttemptEligibility eligibility, LoadBalancerActions actions) {
        this.settings = settings;
        this.eligibility = eligibility;
        this.actions = actions;
    }

    /** Starts the timer of a new attempt if a second attempt would be allowed. */
    void start(long nowMicros, Attempt attempt) {
        if (settings.hedgesRequests() && eligibility.isSafeToRepeat(attempt, attempt.endpoint(), nowMicros)) {
            startTimer(attempt, Attempt.OVERDUE_RATIO);
        }
    }

    /** Starts the timer again for an overdue attempt that its endpoint is still processing. */
    void restart(Attempt attempt) {
        startTimer(attempt, RECHECK_RATIO);
    }

    /**
     * Starts the timer with the forecast response time multiplied by {@code forecastRatio}, at least a sweep interval.
     */
    private void startTimer(Attempt attempt, double forecastRatio) {
        long delayMicros = (long) (forecastRatio * attempt.forecast().responseMicros());
        String name = TimerNames.ATTEMPT_OVERDUE + attempt.request().id();
        actions.startTimer(name, Math.max(RequestQueue.SWEEP_INTERVAL_MICROS, delayMicros));
    }
}
