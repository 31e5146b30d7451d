package loadbalancer.decision;

/** Sends attempts and notifies the parts that keep account of them. */
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
     * Forwards the request to the endpoint.
     *
     * @throws IllegalStateException if the rules forbid it
     */
    void send(long nowMicros, PendingRequest request, TrackedEndpoint endpoint) {
        if (!eligibility.maySend(nowMicros, request, endpoint)) {
            throw new IllegalStateException("the rules forbid sending " + request.id() + " to " + endpoint.id());
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
