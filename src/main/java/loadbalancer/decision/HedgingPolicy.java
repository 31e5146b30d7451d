package loadbalancer.decision;

/**
 * Decides on hedged requests: a second attempt while the first is in flight. When an attempt is overdue its endpoint
 * gets a health check; only where that stays unanswered, or the endpoint does not hold the request, a second attempt is
 * sent. On an endpoint that is at work it would be wasted. A budget limits them to a small part of the requests.
 */
final class HedgingPolicy {
    /** Hedged requests for each request. */
    private static final double BUDGET_RATIO = 0.05;
    /** The most that is saved up for a bad moment. */
    private static final double MAX_BUDGET = 10;

    private final RoutingTable routing;
    private final RoutingRefresh refresh;
    private final HealthChecks healthChecks;
    private final PowerOfTwoSelector powerOfTwo;
    private final AttemptSender sender;
    private final OverdueAttemptTimer overdueTimer;
    private final LoadBalancerActions actions;
    private double budget;

    HedgingPolicy(
            RoutingTable routing,
            RoutingRefresh refresh,
            HealthChecks healthChecks,
            PowerOfTwoSelector powerOfTwo,
            AttemptSender sender,
            OverdueAttemptTimer overdueTimer,
            LoadBalancerActions actions) {
        this.routing = routing;
        this.refresh = refresh;
        this.healthChecks = healthChecks;
        this.powerOfTwo = powerOfTwo;
        this.sender = sender;
        this.overdueTimer = overdueTimer;
        this.actions = actions;
    }

    /** Adds an arriving request's part to the budget. */
    void countArrival() {
        budget = Math.min(MAX_BUDGET, budget + BUDGET_RATIO);
    }

    /** The request's attempt is overdue: checks its endpoint. */
    void onAttemptOverdue(long nowMicros, PendingRequest request) {
        Attempt attempt = hedgeableAttempt(nowMicros, request);
        if (attempt == null || attempt.endpoint().isRemoved()) {
            return;
        }
        request.setOverdueCheckMicros(nowMicros);
        healthChecks.check(nowMicros, attempt.endpoint());
        actions.startTimer(TimerNames.HEALTH_CHECK_DUE + request.id(), RequestQueue.SWEEP_MICROS);
    }

    /** The health check of an overdue attempt's endpoint should have been answered: sends a second attempt if not. */
    void onHealthCheckDue(long nowMicros, PendingRequest request) {
        Attempt attempt = hedgeableAttempt(nowMicros, request);
        if (attempt == null) {
            return;
        }
        TrackedEndpoint endpoint = attempt.endpoint();
        boolean answered = endpoint.reportedLoad.reportedMicros() >= request.overdueCheckMicros();
        // Answered, and not holding the request: it was lost on its connection, or its response was.
        boolean lost = answered && endpoint.reportedLoad.lostAttempts() > 0;
        attempt.setLost(lost);
        if (!answered) {
            healthChecks.markUnresponsive(nowMicros, endpoint);
        } else if (!lost) {
            overdueTimer.restart(attempt);
            return;
        }
        hedge(nowMicros, request, endpoint);
    }

    private void hedge(long nowMicros, PendingRequest request, TrackedEndpoint excluded) {
        refresh.refresh(nowMicros);
        if (budget < 1) {
            return;
        }
        TrackedEndpoint endpoint = powerOfTwo.select(nowMicros, request, routing.all(), RoomNeeded.FREE_CORE, excluded);
        if (endpoint != null) {
            budget--;
            sender.send(nowMicros, request, endpoint);
        }
    }

    /** The only attempt in flight of a request to which a second one could still be of use, or null. */
    private Attempt hedgeableAttempt(long nowMicros, PendingRequest request) {
        if (request == null || request.isFinished() || request.isQueued()) {
            return null;
        }
        if (nowMicros + routing.bestSpeedFactor() * request.workMicros() > request.usefulUntilMicros()) {
            return null;
        }
        Attempt inFlight = null;
        for (Attempt attempt : request.attempts()) {
            if (attempt.hasEnded()) {
                continue;
            }
            if (inFlight != null) {
                return null;
            }
            inFlight = attempt;
        }
        return inFlight;
    }
}
