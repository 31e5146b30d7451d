package loadbalancer.decision;

/** Starts the timers at which an unanswered attempt is looked at for a hedged request. */
final class OverdueAttemptTimer {
    /** An endpoint that was found at work is checked again after this part of the expected time. */
    private static final double RECHECK_RATIO = 0.5;

    private final PolicySettings settings;
    private final RetryEligibility retries;
    private final LoadBalancerActions actions;

    OverdueAttemptTimer(PolicySettings settings, RetryEligibility retries, LoadBalancerActions actions) {
        this.settings = settings;
        this.retries = retries;
        this.actions = actions;
    }

    /** For an attempt that has just been sent; none where a second one would not be allowed. */
    void start(long nowMicros, Attempt attempt) {
        if (settings.hedgesRequests() && retries.isRepeatable(attempt, attempt.endpoint(), nowMicros)) {
            startTimer(attempt, Attempt.OVERDUE_RATIO);
        }
    }

    /** For an attempt that is overdue on an endpoint that is at work. */
    void restart(Attempt attempt) {
        startTimer(attempt, RECHECK_RATIO);
    }

    private void startTimer(Attempt attempt, double ratio) {
        long delayMicros = (long) (ratio * attempt.forecast().timeMicros());
        String name = TimerNames.ATTEMPT_OVERDUE + attempt.request().id();
        actions.startTimer(name, Math.max(RequestQueue.SWEEP_MICROS, delayMicros));
    }
}
