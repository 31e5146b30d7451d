package loadbalancer.decision;

import loadbalancer.settings.Idempotency;
import loadbalancer.settings.RequestClass;

/**
 * The rules on what may be sent, retried and rejected; every send, also a first one, and every rejection is checked
 * here. A request that may have run is sent again only where that has no second effect, and is never rejected, since a
 * rejection promises that nothing has run.
 */
final class AttemptEligibility {
    private final PolicySettings settings;
    private final SlowStartBudget slowStartBudget;

    AttemptEligibility(PolicySettings settings, SlowStartBudget slowStartBudget) {
        this.settings = settings;
        this.slowStartBudget = slowStartBudget;
    }

    /** Whether the request may be sent to the endpoint now. */
    boolean maySend(long nowMicros, PendingRequest request, TrackedEndpoint endpoint) {
        boolean attemptsSpent = request.attempts().size() >= settings.limits().maxAttempts();
        if (request.isFinished() || request.isStreaming() || attemptsSpent) {
            return false;
        }
        if (!endpoint.isReady() || nowMicros >= request.deadlineMicros()) {
            return false;
        }
        if (request.hasAttempts() && !allowedAfterAttempts(nowMicros, request, endpoint)) {
            return false;
        }
        return slowStartBudget.allows(endpoint, request.workMicros(), nowMicros);
    }

    private boolean allowedAfterAttempts(long nowMicros, PendingRequest request, TrackedEndpoint endpoint) {
        for (Attempt earlier : request.attempts()) {
            if (!earlier.hasEnded() && !settings.limits().hedging()) {
                return false;
            }
            if (earlier.mayHaveRun() && !isRepeatable(earlier, endpoint, nowMicros)) {
                return false;
            }
        }
        return true;
    }

    /** Whether repeating an attempt that may have run has no second effect, by its class and deduplication scope. */
    boolean isRepeatable(Attempt earlier, TrackedEndpoint endpoint, long nowMicros) {
        RequestClass requestClass = earlier.request().requestClass();
        if (requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        // The retry must arrive within the window even if it needs a new connection.
        long arrivalMicros = nowMicros + settings.limits().connectTimeoutMicros();
        if (requestClass.idempotency() == Idempotency.NOT_IDEMPOTENT
                || arrivalMicros - earlier.sentMicros() >= requestClass.deduplicationWindowMicros()) {
            return false;
        }
        Endpoint before = earlier.listEntry();
        Endpoint after = endpoint.listEntry();
        return switch (requestClass.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> after.zone().equals(before.zone());
            case CELL -> after.cell() == before.cell();
        };
    }

    /** Whether the request may be rejected, which promises that nothing has run. */
    boolean mayReject(PendingRequest request) {
        return !request.isFinished() && !request.isStreaming() && !request.mayHaveRun();
    }
}
