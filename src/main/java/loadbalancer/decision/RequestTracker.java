package loadbalancer.decision;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.settings.RequestClass;

/** The requests that are pending, and their final answers: each has exactly one. */
final class RequestTracker {
    private final PolicySettings settings;
    private final WorkEstimator work;
    private final RequestQueue queue;
    private final RetryEligibility retries;
    private final LoadBalancerActions actions;
    private final Map<String, PendingRequest> pending = new HashMap<>();

    RequestTracker(
            PolicySettings settings,
            WorkEstimator work,
            RequestQueue queue,
            RetryEligibility retries,
            LoadBalancerActions actions) {
        this.settings = settings;
        this.work = work;
        this.queue = queue;
        this.retries = retries;
        this.actions = actions;
    }

    /**
     * Takes up a request.
     *
     * @throws IllegalArgumentException if the settings have no such request class
     */
    PendingRequest accept(long nowMicros, Request request) {
        RequestClass requestClass = settings.requestClass(request.requestClass());
        if (requestClass == null) {
            throw new IllegalArgumentException("no class '" + request.requestClass() + "'");
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

    /** Ends a request whose client waits no longer. */
    void expire(String id) {
        PendingRequest request = pending.get(id);
        if (request != null) {
            finish(request);
        }
    }

    /** Answers a request that finds no room in time: it is rejected where nothing has run, else it fails. */
    void giveUp(PendingRequest request) {
        if (!retries.mayReject(request)) {
            fail(request);
            return;
        }
        long objectiveMicros = request.requestClass().latencyObjectiveMicros();
        long retryAfterMicros = settings.limits().retryAfter() ? objectiveMicros / 2 : 0;
        finish(request);
        actions.reject(
                request.id(), Math.min(retryAfterMicros, settings.limits().maxRetryAfterMicros()));
    }

    void fail(PendingRequest request) {
        if (!request.isFinished()) {
            finish(request);
            actions.fail(request.id());
        }
    }

    /** Notes that a request needs no further decision; it is kept until its last attempt has ended. */
    void finish(PendingRequest request) {
        request.markFinished();
        queue.remove(request);
        if (!request.hasAttemptInFlight()) {
            pending.remove(request.id());
        }
    }
}
