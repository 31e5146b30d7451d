package loadbalancer.decision;

import loadbalancer.settings.DeduplicationScope;
import loadbalancer.settings.Idempotency;
import loadbalancer.settings.RequestClass;

/**
 * The rules for when a request may be sent, retried and rejected. Every send, including the first one of a request, and
 * every rejection is checked here. A request that an endpoint may have executed is sent again only if executing it
 * twice has no further effect. It is never rejected, because a rejection promises that no endpoint has executed the
 * request.
 */
final class AttemptEligibility {
    private final PolicySettings settings;
    private final SlowStartBudget slowStartBudget;

    AttemptEligibility(PolicySettings settings, SlowStartBudget slowStartBudget) {
        this.settings = settings;
        this.slowStartBudget = slowStartBudget;
    }

    /** Returns whether the request may be sent to the endpoint now. */
    boolean maySend(long nowMicros, PendingRequest request, TrackedEndpoint endpoint) {
        boolean attemptLimitReached =
                request.attempts().size() >= settings.limits().maxAttempts();
        if (request.isFinished() || request.isStreaming() || attemptLimitReached) {
            return false;
        }
        if (!endpoint.isReady() || nowMicros >= request.deadlineMicros()) {
            return false;
        }
        if (request.hasAttempts() && !earlierAttemptsAllow(nowMicros, request, endpoint)) {
            return false;
        }
        return slowStartBudget.allows(endpoint, request.workMicros(), nowMicros);
    }

    private boolean earlierAttemptsAllow(long nowMicros, PendingRequest request, TrackedEndpoint endpoint) {
        for (Attempt earlier : request.attempts()) {
            if (!earlier.hasEnded() && !settings.limits().hedging()) {
                return false;
            }
            if (earlier.mayHaveRun() && !isSafeToRepeat(earlier, endpoint, nowMicros)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether sending the request to the endpoint again has no further effect if the endpoint of the earlier
     * attempt has executed it. The answer depends on the idempotency, the deduplication scope and the deduplication
     * window of the request class.
     */
    boolean isSafeToRepeat(Attempt earlier, TrackedEndpoint endpoint, long nowMicros) {
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
        return isInScope(requestClass.deduplicationScope(), earlier.listEntry(), endpoint.listEntry());
    }

    /** Returns whether both endpoints share their idempotency keys. An unknown cell is not shared with any other. */
    private static boolean isInScope(DeduplicationScope scope, Endpoint earlier, Endpoint retry) {
        if (retry.id().equals(earlier.id())) {
            return true;
        }
        return switch (scope) {
            case ALL -> true;
            case ZONE -> retry.zone().equals(earlier.zone());
            case CELL -> retry.cell() == earlier.cell() && retry.cell() != Endpoint.NO_CELL;
            case UNSTATED -> false;
        };
    }

    /** Returns whether the request may be rejected, which promises that no endpoint has executed it. */
    boolean mayReject(PendingRequest request) {
        return !request.isFinished() && !request.isStreaming() && !request.mayHaveRun();
    }
}
