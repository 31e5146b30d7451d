package loadbalancer.decision;

/**
 * Handles the outcome of an attempt: updates the estimates of its endpoint, then finishes, fails or retries the
 * request.
 */
final class AttemptOutcomeHandler {
    private final EndpointRegistry registry;
    private final RequestTracker requests;
    private final InFlightAttempts attempts;
    private final IdleConnectionPolicy idleConnections;
    private final OutcomeEvaluator evaluator;
    private final LoadReportHandler reportHandler;
    private final RequestScheduler scheduler;

    AttemptOutcomeHandler(
            EndpointRegistry registry,
            RequestTracker requests,
            InFlightAttempts attempts,
            IdleConnectionPolicy idleConnections,
            OutcomeEvaluator evaluator,
            LoadReportHandler reportHandler,
            RequestScheduler scheduler) {
        this.registry = registry;
        this.requests = requests;
        this.attempts = attempts;
        this.idleConnections = idleConnections;
        this.evaluator = evaluator;
        this.reportHandler = reportHandler;
        this.scheduler = scheduler;
    }

    /** Handles the outcome. If the attempt is not in flight, only the load report is used. */
    void onOutcome(long nowMicros, AttemptResult result) {
        reportHandler.onReport(result.endpointId(), result.loadReport(), nowMicros);
        PendingRequest request = requests.find(result.requestId());
        if (request == null) {
            reportHandler.clearReportingEndpoint();
            return;
        }
        Attempt attempt = request.attemptInFlight(result.attemptNumber());
        if (attempt == null) {
            return;
        }
        endAttempt(nowMicros, attempt, result);
        finishOrRetry(nowMicros, request, result);
        scheduler.sendQueuedRequests(nowMicros);
        reportHandler.clearReportingEndpoint();
    }

    private void endAttempt(long nowMicros, Attempt attempt, AttemptResult result) {
        TrackedEndpoint endpoint = attempt.endpoint();
        attempt.end(result.outcome());
        attempts.remove(nowMicros, attempt, result.outcome());
        idleConnections.recordUse(nowMicros, endpoint);
        idleConnections.closeIfDraining(endpoint);
        registry.discardIfUnused(endpoint);
        evaluator.evaluate(nowMicros, attempt, result.outcome(), result.latencyMicros());
    }

    private void finishOrRetry(long nowMicros, PendingRequest request, AttemptResult result) {
        if (result.requestFinished() || request.isFinished()) {
            requests.finish(request);
        } else if (result.outcome() == AttemptOutcome.INVALID_REQUEST) {
            requests.fail(request);
        } else if (!request.isStreaming()) {
            scheduler.retry(nowMicros, request);
        }
    }
}
