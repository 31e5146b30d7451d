package loadbalancer.decision;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.settings.RequestClass;

/**
 * Tracks the pending requests and sends their rejections and failures. Each request gets exactly one final response,
 * unless it expires.
 */
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
     * Starts to track a request, and adds its expected work to the mean work of requests.
     *
     * @throws IllegalArgumentException if the settings do not define the request's class
     */
    PendingRequest accept(long nowMicros, Request request) {
        RequestClass requestClass = settings.requestClass(request.requestClassName());
        if (requestClass == null) {
            throw new IllegalArgumentException("no request class '" + request.requestClassName() + "' in the settings");
        }
        double workMicros = work.workMicros(request);
        work.countArrival(workMicros);
        double relativePriority = settings.relativePriority(requestClass);
        PendingRequest accepted = new PendingRequest(nowMicros, request, requestClass, workMicros, relativePriority);
        pending.put(request.id(), accepted);
        return accepted;
    }

    /** Returns the pending request with this id, or null if there is none. */
    PendingRequest find(String id) {
        return pending.get(id);
    }

    void markStreaming(String id) {
        PendingRequest request = pending.get(id);
        if (request != null) {
            request.markStreaming();
        }
    }

    /** Finishes a request whose client no longer waits, without a final response. */
    void expire(String id) {
        PendingRequest request = pending.get(id);
        if (request != null) {
            finish(request);
        }
    }

    /**
     * Sends the final response of a request that can't be served in time: rejects it if no endpoint can have executed
     * it, else fails it. Does nothing if it is finished.
     */
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

    /** Fails the request, unless it is finished. */
    void fail(PendingRequest request) {
        if (!request.isFinished()) {
            finish(request);
            actions.fail(request.id());
        }
    }

    /** Marks a request as finished and removes it from the queue. It stays tracked until its last attempt has ended. */
    void finish(PendingRequest request) {
        request.markFinished();
        queue.remove(request);
        if (!request.hasAttemptInFlight()) {
            pending.remove(request.id());
        }
    }
}
