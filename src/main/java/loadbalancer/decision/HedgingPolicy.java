package loadbalancer.decision;

/**
 * Decides when a request is hedged, that is, sent a second time while its first attempt is in flight. When an attempt
 * is overdue, its endpoint gets a health check. A second attempt is sent only if the check gets no reply or shows that
 * the endpoint does not hold the request; while the endpoint is processing the request, a second attempt would be
 * wasted. A budget limits hedged requests to a small fraction of all requests.
 */
final class HedgingPolicy {
    /** Number of hedged requests that each arriving request adds to the budget. */
    private static final double BUDGET_RATIO = 0.05;
    /** Upper limit of the budget, in hedged requests. */
    private static final double MAX_BUDGET = 10;

    private final RoutingTable routingTable;
    private final RoutingRefresher routingRefresher;
    private final HealthChecks healthChecks;
    private final PowerOfTwoSelector powerOfTwo;
    private final AttemptSender sender;
    private final OverdueAttemptTimer overdueTimer;
    private final LoadBalancerActions actions;
    /** Number of hedged requests that may be sent now. */
    private double budget;

    HedgingPolicy(
            RoutingTable routingTable,
            RoutingRefresher routingRefresher,
            HealthChecks healthChecks,
            PowerOfTwoSelector powerOfTwo,
            AttemptSender sender,
            OverdueAttemptTimer overdueTimer,
            LoadBalancerActions actions) {
        this.routingTable = routingTable;
        this.routingRefresher = routingRefresher;
        this.healthChecks = healthChecks;
        this.powerOfTwo = powerOfTwo;
        this.sender = sender;
        this.overdueTimer = overdueTimer;
        this.actions = actions;
    }

    /** Adds to the budget for an arriving request. */
    void countArrival() {
        budget = Math.min(MAX_BUDGET, budget + BUDGET_RATIO);
    }

    /**
     * Handles an overdue attempt by sending a health check to its endpoint.
     *
     * @param request the request of the attempt, or null if it is no longer pending
     */
    void onAttemptOverdue(long nowMicros, PendingRequest request) {
        Attempt attempt = hedgeableAttempt(nowMicros, request);
        if (attempt == null || attempt.endpoint().isRemoved()) {
            return;
        }
        request.setOverdueCheckMicros(nowMicros);
        healthChecks.check(nowMicros, attempt.endpoint());
        actions.startTimer(TimerNames.HEALTH_CHECK_DUE + request.id(), RequestQueue.SWEEP_INTERVAL_MICROS);
    }

    /**
     * Handles the end of the wait for the health check that {@link #onAttemptOverdue} sent. Sends a second attempt if
     * the endpoint has not replied or does not hold the request, the budget allows it and another endpoint has a free
     * core. If the endpoint holds the request, restarts the timer of the first attempt.
     *
     * @param request the request of the attempt, or null if it is no longer pending
     */
    void onHealthCheckDue(long nowMicros, PendingRequest request) {
        Attempt attempt = hedgeableAttempt(nowMicros, request);
        if (attempt == null) {
            return;
        }
        TrackedEndpoint endpoint = attempt.endpoint();
        boolean replied = endpoint.reportedLoad.reportedMicros() >= request.overdueCheckMicros();
        // The endpoint replied but holds fewer attempts than were sent to it: the request or its response was lost.
        boolean lost = replied && endpoint.reportedLoad.lostAttempts() > 0;
        attempt.setReportedLost(lost);
        if (!replied) {
            healthChecks.markUnresponsive(nowMicros, endpoint);
        } else if (!lost) {
            overdueTimer.restart(attempt);
            return;
        }
        hedge(nowMicros, request, endpoint);
    }

    private void hedge(long nowMicros, PendingRequest request, TrackedEndpoint excluded) {
        routingRefresher.refreshIfDue(nowMicros);
        if (budget < 1) {
            return;
        }
        TrackedEndpoint endpoint =
                powerOfTwo.select(nowMicros, request, routingTable.all(), CapacityRequirement.FREE_CORE, excluded);
        if (endpoint != null) {
            budget--;
            sender.send(nowMicros, request, endpoint);
        }
    }

    /**
     * Returns the request's attempt in flight if it is the only one and a second attempt could still get its response
     * in time; otherwise null.
     */
    private Attempt hedgeableAttempt(long nowMicros, PendingRequest request) {
        if (request == null || request.isFinished() || request.isQueued()) {
            return null;
        }
        if (nowMicros + routingTable.bestSpeedFactor() * request.workMicros() > request.usefulUntilMicros()) {
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
