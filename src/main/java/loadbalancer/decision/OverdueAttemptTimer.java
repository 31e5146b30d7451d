package loadbalancer.decision;

/** Starts the timers at which {@link HedgingPolicy} looks at an attempt that is still in flight. */
final class OverdueAttemptTimer {
    /** An endpoint that was found to be working is checked again after this part of the forecast time. */
    private static final double RECHECK_RATIO = 0.5;

    private final PolicySettings settings;
    private final AttemptEligibility eligibility;
    private final LoadBalancerActions actions;

    OverdueAttemptTimer(PolicySettings settings, AttemptEligibility eligibility, LoadBalancerActions actions) {
        this.settings = settings;
        this.eligibility = eligibility;
        this.actions = actions;
    }

    /** Starts the timer of a new attempt, unless a second attempt would not be allowed. */
    void start(long nowMicros, Attempt attempt) {
        if (settings.hedgesRequests() && eligibility.isRepeatable(attempt, attempt.endpoint(), nowMicros)) {
            startTimer(attempt, Attempt.OVERDUE_RATIO);
        }
    }

    /** Starts the timer again for an overdue attempt on an endpoint that is working. */
    void restart(Attempt attempt) {
        startTimer(attempt, RECHECK_RATIO);
    }

    private void startTimer(Attempt attempt, double ratio) {
        long delayMicros = (long) (ratio * attempt.forecast().responseMicros());
        String name = TimerNames.ATTEMPT_OVERDUE + attempt.request().id();
        actions.startTimer(name, Math.max(RequestQueue.SWEEP_MICROS, delayMicros));
    }
}
