package loadbalancer.decision;

/** Decides whether a request is sent to an endpoint, queued, rejected or failed. */
final class RequestScheduler {
    private final PolicySettings settings;
    private final EndpointRegistry registry;
    private final RequestQueue queue;
    private final EndpointSelector selector;
    private final AttemptSender sender;
    private final RequestTracker requests;
    private final AttemptEligibility eligibility;

    RequestScheduler(
            PolicySettings settings,
            EndpointRegistry registry,
            RequestQueue queue,
            EndpointSelector selector,
            AttemptSender sender,
            RequestTracker requests,
            AttemptEligibility eligibility) {
        this.settings = settings;
        this.registry = registry;
        this.queue = queue;
        this.selector = selector;
        this.sender = sender;
        this.requests = requests;
        this.eligibility = eligibility;
    }

    /**
     * Sends an admitted request, or queues it if no endpoint can take it. It is also queued if other requests are
     * already waiting, unless load is sampled. Instead of being queued, it is rejected if too little time is left.
     */
    void schedule(long nowMicros, PendingRequest request) {
        boolean mayBypassQueue = queue.isEmpty() || settings.samplesLoad();
        TrackedEndpoint endpoint = mayBypassQueue ? selector.select(nowMicros, request) : null;
        if (endpoint == null) {
            enqueue(nowMicros, request);
        } else {
            sender.send(nowMicros, request, endpoint);
        }
    }

    /**
     * Handles a request after a failed attempt. Sends another attempt if an endpoint can take it, or queues the request
     * if the rules allow another attempt; otherwise rejects or fails it. Does nothing while another attempt is in
     * flight.
     */
    void retry(long nowMicros, PendingRequest request) {
        if (request.hasAttemptInFlight()) {
            return;
        }
        boolean inTime = nowMicros < queue.mayWaitUntilMicros(request);
        TrackedEndpoint endpoint = inTime ? selector.select(nowMicros, request) : null;
        if (endpoint != null) {
            sender.send(nowMicros, request, endpoint);
        } else if (mayBeSentToAnyEndpoint(nowMicros, request)) {
            enqueue(nowMicros, request);
        } else {
            requests.rejectOrFail(request);
        }
    }

    private boolean mayBeSentToAnyEndpoint(long nowMicros, PendingRequest request) {
        for (TrackedEndpoint endpoint : registry.ready()) {
            if (eligibility.maySend(nowMicros, request, endpoint)) {
                return true;
            }
        }
        return false;
    }

    /** Queues the request. Rejects or fails it instead if the time until which it may wait in the queue has passed. */
    private void enqueue(long nowMicros, PendingRequest request) {
        if (nowMicros >= queue.mayWaitUntilMicros(request)) {
            requests.rejectOrFail(request);
        } else {
            queue.add(request);
        }
    }

    /**
     * Sends queued requests in order, and rejects or fails those that find no endpoint and are too late. Stops at the
     * first other request that finds no endpoint, unless the cause may be specific to that request.
     */
    void sendQueuedRequests(long nowMicros) {
        boolean capacityLeft = true;
        for (int i = 0; i < queue.size() && capacityLeft; i++) {
            PendingRequest request = queue.get(i);
            if (sendOrFinishIfLate(nowMicros, i, selector.select(nowMicros, request))) {
                i--;
            } else {
                capacityLeft = othersMayBeSent(request);
            }
        }
    }

    /**
     * Checks every queued request: sends it if an endpoint can take it, otherwise rejects or fails it if it is too
     * late. Once a request has found no endpoint for a reason that also applies to others, only requests with earlier
     * attempts are still sent. Called when the sweep timer fires.
     */
    void sweep(long nowMicros) {
        queue.onSweepTimer();
        boolean capacityLeft = true;
        for (int i = 0; i < queue.size(); i++) {
            PendingRequest request = queue.get(i);
            boolean maySend = capacityLeft || request.hasAttempts();
            TrackedEndpoint endpoint = maySend ? selector.select(nowMicros, request) : null;
            if (sendOrFinishIfLate(nowMicros, i, endpoint)) {
                i--;
            } else {
                capacityLeft &= othersMayBeSent(request);
            }
        }
        queue.startSweepTimer();
    }

    /**
     * Returns whether other requests may still be sent although this one found no endpoint, because this one is limited
     * by its earlier attempts or by the pair of endpoints drawn for it.
     */
    private boolean othersMayBeSent(PendingRequest request) {
        return settings.samplesLoad() || request.hasAttempts();
    }

    /**
     * Sends the queued request to the endpoint; if there is none and the request is too late, rejects or fails it.
     *
     * @param index position of the request in the queue
     * @param endpoint the selected endpoint, or null if none was found
     * @return whether the request was removed from the queue
     */
    private boolean sendOrFinishIfLate(long nowMicros, int index, TrackedEndpoint endpoint) {
        PendingRequest request = queue.get(index);
        if (endpoint == null && nowMicros < queue.mayWaitUntilMicros(request)) {
            return false;
        }
        queue.remove(index);
        if (endpoint != null) {
            sender.send(nowMicros, request, endpoint);
        } else {
            requests.rejectOrFail(request);
        }
        return true;
    }
}
