package loadbalancer.decision;

/** Decides for each request at each moment: send it, keep it in the queue, or give it up. */
final class RequestScheduler {
    private final PolicySettings settings;
    private final EndpointRegistry registry;
    private final RequestQueue queue;
    private final EndpointSelector selector;
    private final AttemptSender sender;
    private final RequestTracker requests;
    private final RetryEligibility retries;

    RequestScheduler(
            PolicySettings settings,
            EndpointRegistry registry,
            RequestQueue queue,
            EndpointSelector selector,
            AttemptSender sender,
            RequestTracker requests,
            RetryEligibility retries) {
        this.settings = settings;
        this.registry = registry;
        this.queue = queue;
        this.selector = selector;
        this.sender = sender;
        this.requests = requests;
        this.retries = retries;
    }

    /** Sends an admitted request, or queues it behind those that wait. */
    void schedule(long nowMicros, PendingRequest request) {
        boolean mayOvertake = queue.isEmpty() || settings.samplesLoad();
        TrackedEndpoint endpoint = mayOvertake ? selector.select(nowMicros, request) : null;
        if (endpoint == null) {
            enqueue(nowMicros, request);
        } else {
            sender.send(nowMicros, request, endpoint);
        }
    }

    /** After an attempt without success: another one where the rules and the time allow, else the final answer. */
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
            requests.giveUp(request);
        }
    }

    private boolean maySendAnywhere(long nowMicros, PendingRequest request) {
        for (TrackedEndpoint endpoint : registry.ready()) {
            if (retries.maySend(nowMicros, request, endpoint)) {
                return true;
            }
        }
        return false;
    }

    /** A request with too little time left is given up at once: the next sweep might come after its deadline. */
    private void enqueue(long nowMicros, PendingRequest request) {
        if (nowMicros >= queue.lastStartMicros(request)) {
            requests.giveUp(request);
        } else {
            queue.add(request);
        }
    }

    /** Sends queued requests, in order, while there is room. */
    void dispatch(long nowMicros) {
        boolean room = true;
        for (int i = 0; i < queue.size() && room; i++) {
            PendingRequest request = queue.get(i);
            if (sendOrGiveUp(nowMicros, i, selector.select(nowMicros, request))) {
                i--;
            } else {
                room = isRestricted(request);
            }
        }
    }

    /** Goes through the whole queue: sends what finds room, and gives up what is too late. */
    void sweep(long nowMicros) {
        queue.onSweepTimer();
        boolean room = true;
        for (int i = 0; i < queue.size(); i++) {
            PendingRequest request = queue.get(i);
            boolean maySend = room || request.hasAttempts();
            TrackedEndpoint endpoint = maySend ? selector.select(nowMicros, request) : null;
            if (sendOrGiveUp(nowMicros, i, endpoint)) {
                i--;
            } else {
                room &= isRestricted(request);
            }
        }
        queue.startSweepTimer();
    }

    /** Whether the request's lack of room says nothing of others: it is bound by attempts or by its drawn pair. */
    private boolean isRestricted(PendingRequest request) {
        return settings.samplesLoad() || request.hasAttempts();
    }

    /** Takes the request out of the queue where it is sent or given up, and says whether it was. */
    private boolean sendOrGiveUp(long nowMicros, int index, TrackedEndpoint endpoint) {
        PendingRequest request = queue.get(index);
        if (endpoint == null && nowMicros < queue.lastStartMicros(request)) {
            return false;
        }
        queue.remove(index);
        if (endpoint != null) {
            sender.send(nowMicros, request, endpoint);
        } else {
            requests.giveUp(request);
        }
        return true;
    }
}
