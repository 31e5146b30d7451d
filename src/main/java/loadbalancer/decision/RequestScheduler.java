package loadbalancer.decision;

/** Decides whether a request is sent, waits in the queue, or gets its final response without being sent. */
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

    /** Sends an admitted request, or queues it. Other requests in the queue go first, unless loads are sampled. */
    void schedule(long nowMicros, PendingRequest request) {
        boolean mayOvertake = queue.isEmpty() || settings.samplesLoad();
        TrackedEndpoint endpoint = mayOvertake ? selector.select(nowMicros, request) : null;
        if (endpoint == null) {
            enqueue(nowMicros, request);
        } else {
            sender.send(nowMicros, request, endpoint);
        }
    }

    /** After a failed attempt: sends another or queues the request where rules and time allow it, else gives it up. */
    void retry(long nowMicros, PendingRequest request) {
        if (request.hasAttemptInFlight()) {
            return;
        }
        boolean inTime = nowMicros < queue.lastStartMicros(request);
        TrackedEndpoint endpoint = inTime ? selector.select(nowMicros, request) : null;
        if (endpoint != null) {
            sender.send(nowMicros, request, endpoint);
        } else if (maySendAnywhere(nowMicros, request)) {
            enqueue(nowMicros, request);
        } else {
            requests.rejectOrFail(request);
        }
    }

    private boolean maySendAnywhere(long nowMicros, PendingRequest request) {
        for (TrackedEndpoint endpoint : registry.ready()) {
            if (eligibility.maySend(nowMicros, request, endpoint)) {
                return true;
            }
        }
        return false;
    }

    /** Queues the request, or gives it up if too little time is left: the next sweep might come after its deadline. */
    private void enqueue(long nowMicros, PendingRequest request) {
        if (nowMicros >= queue.lastStartMicros(request)) {
            requests.rejectOrFail(request);
        } else {
            queue.add(request);
        }
    }

    /** Goes through the queue while there is room: sends requests, and gives up those that are too late. */
    void dispatch(long nowMicros) {
        boolean room = true;
        for (int i = 0; i < queue.size() && room; i++) {
            PendingRequest request = queue.get(i);
            if (sendOrEndIfLate(nowMicros, i, selector.select(nowMicros, request))) {
                i--;
            } else {
                room = isRestricted(request);
            }
        }
    }

    /** Goes through the whole queue: sends requests while there is room, and gives up those that are too late. */
    void sweep(long nowMicros) {
        queue.onSweepTimer();
        boolean room = true;
        for (int i = 0; i < queue.size(); i++) {
            PendingRequest request = queue.get(i);
            boolean maySend = room || request.hasAttempts();
            TrackedEndpoint endpoint = maySend ? selector.select(nowMicros, request) : null;
            if (sendOrEndIfLate(nowMicros, i, endpoint)) {
                i--;
            } else {
                room &= isRestricted(request);
            }
        }
        queue.startSweepTimer();
    }

    /**
     * Whether others may find room where this request does not: it is limited by earlier attempts or its drawn pair.
     */
    private boolean isRestricted(PendingRequest request) {
        return settings.samplesLoad() || request.hasAttempts();
    }

    /**
     * Sends the queued request to the endpoint, or gives it up if there is no endpoint and it is too late.
     *
     * @return whether the request has left the queue
     */
    private boolean sendOrEndIfLate(long nowMicros, int index, TrackedEndpoint endpoint) {
        PendingRequest request = queue.get(index);
        if (endpoint == null && nowMicros < queue.lastStartMicros(request)) {
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
