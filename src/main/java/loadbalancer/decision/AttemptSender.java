package loadbalancer.decision;

/** Sends attempts and updates the components that track them. */
final class AttemptSender {
    private final AttemptEligibility eligibility;
    private final AttemptForecaster forecaster;
    private final InFlightAttempts attempts;
    private final SlowStartBudget slowStartBudget;
    private final IdleConnectionPolicy idleConnections;
    private final OverdueAttemptTimer overdueTimer;
    private final LoadBalancerActions actions;

    AttemptSender(
            AttemptEligibility eligibility,
            AttemptForecaster forecaster,
            InFlightAttempts attempts,
            SlowStartBudget slowStartBudget,
            IdleConnectionPolicy idleConnections,
            OverdueAttemptTimer overdueTimer,
            LoadBalancerActions actions) {
        this.eligibility = eligibility;
        this.forecaster = forecaster;
        this.attempts = attempts;
        this.slowStartBudget = slowStartBudget;
        this.idleConnections = idleConnections;
        this.overdueTimer = overdueTimer;
        this.actions = actions;
    }

    /**
     * Sends the request to the endpoint as a new attempt.
     *
     * @throws IllegalStateException if {@link AttemptEligibility#maySend} forbids it
     */
    void send(long nowMicros, PendingRequest request, TrackedEndpoint endpoint) {
        if (!eligibility.maySend(nowMicros, request, endpoint)) {
            throw new IllegalStateException(
                    "request " + request.id() + " must not be sent to endpoint " + endpoint.id());
        }
        AttemptForecast forecast = forecaster.forecast(nowMicros, request, endpoint);
        long connectionIdleMicros = idleConnections.prepareSend(nowMicros, endpoint);
        Attempt attempt = new Attempt(request, endpoint, forecast, nowMicros, connectionIdleMicros);
        request.attempts().add(attempt);
        attempts.add(attempt);
        slowStartBudget.recordSend(endpoint, request.workMicros(), nowMicros);
        actions.sendAttempt(request.id(), endpoint.id(), request.deadlineMicros());
        overdueTimer.start(nowMicros, attempt);
    }
}
