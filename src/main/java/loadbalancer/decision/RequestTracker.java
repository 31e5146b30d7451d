package loadbalancer.decision;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.settings.RequestClass;

/** The pending requests, and their final responses: each gets exactly one. */
final class RequestTracker {
    private final PolicySettings settings;
    private final WorkEstimator work;
    private final RequestQueue queue;
    private final AttemptEligibility eligibility;
    private final LoadBalancerActions actions;
    private final Map<String, PendingRequest> pending = new HashMap<>();

    RequestTracker(
            PolicySettings settings,
            WorkEstimator work,
            RequestQueue queue,
            AttemptEligibility eligibility,
            LoadBalancerActions actions) {
        this.settings = settings;
        this.work = work;
        this.queue = queue;
        this.eligibility = eligibility;
        this.actions = actions;
    }

    /**
     * Starts to track a request, and counts its work in the mean.
     *
     * @throws IllegalArgumentException if the settings have no such request class
     */
    PendingRequest accept(long nowMicros, Request request) {
        RequestClass requestClass = settings.requestClass(request.requestClassName());
        if (requestClass == null) {
            throw new IllegalArgumentException("no class '" + request.requestClassName() + "'");
        }
        double workMicros = work.workMicros(request);
        work.countArrival(workMicros);
        double relativePriority = settings.relativePriority(requestClass);
        PendingRequest accepted = new PendingRequest(nowMicros, request, requestClass, workMicros, relativePriority);
        pending.put(request.id(), accepted);
        return accepted;
    }

    /** The pending request of this id, or null. */
    PendingRequest find(String id) {
        return pending.get(id);
    }

    void markStreaming(String id) {
        PendingRequest request = pending.get(id);
        if (request != null) {
            request.markStreaming();
        }
    }

    /** Ends a request whose client no longer waits. */
    void expire(String id) {
        PendingRequest request = pending.get(id);
        if (request != null) {
            finish(request);
        }
    }

    /** Ends a request that can't be served in time: rejects it where no endpoint can have run it, else fails it. */
    void rejectOrFail(PendingRequest request) {
        if (!eligibility.mayReject(request)) {
            fail(request);
            return;
        }
        long objectiveMicros = request.requestClass().latencyObjectiveMicros();
        long retryAfterMicros = settings.limits().retryAfter() ? objectiveMicros / 2 : 0;
        finish(request);
        actions.reject(
                request.id(), Math.min(retryAfterMicros, settings.limits().maxRetryAfterMicros()));
    }

    /** Sends the final response that the request has failed, unless it is finished. */
    void fail(PendingRequest request) {
        if (!request.isFinished()) {
            finish(request);
            actions.fail(request.id());
        }
    }

    /** Notes that a request needs no further decision; it stays tracked until its last attempt has ended. */
    void finish(PendingRequest request) {
        request.markFinished();
        queue.remove(request);
        if (!request.hasAttemptInFlight()) {
            pending.remove(request.id());
        }
    }
}
