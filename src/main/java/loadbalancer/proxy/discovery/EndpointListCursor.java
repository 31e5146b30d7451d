package loadbalancer.proxy.discovery;

import loadbalancer.proxy.protocol.EndpointList;

/**
 * The position in discovery's sequence of lists: which generation is known and what the next call has to fetch. Does no
 * input or output. Confined to the event loop of its {@link DiscoveryWatch}.
 */
final class EndpointListCursor {
    private static final String PATH = "/registry/instances";

    private long generation;
    /**
     * Whether deltas to the known generation are no longer usable, because a list was malformed or the service was
     * replaced.
     */
    private boolean fullSnapshotRequired;
    /**
     * Whether any call has been answered or has failed. Until then the list may be the configuration's, which may be
     * outdated.
     */
    private boolean callCompleted;

    EndpointListCursor(long generation) {
        this.generation = generation;
    }

    boolean callCompleted() {
        return callCompleted;
    }

    /**
     * Whether discovery may delay the response to the next call until there is a change. The first call and those for a
     * full snapshot are answered at once.
     */
    boolean nextCallIsLongPoll() {
        return callCompleted && !fullSnapshotRequired;
    }

    /** The request target of the next call. */
    String nextRequestTarget(long longPollWaitMillis) {
        if (fullSnapshotRequired) {
            return PATH;
        }
        return PATH + "?index=" + generation + "&wait=" + (nextCallIsLongPoll() ? longPollWaitMillis : 0);
    }

    /**
     * Whether {@code list} may be applied. An empty full snapshot is refused, as it would leave no endpoint to serve
     * requests, and so is a delta that does not continue the known list.
     */
    boolean accepts(EndpointList list) {
        if (list.fullSnapshot()) {
            return !list.entries().isEmpty();
        }
        return !fullSnapshotRequired && list.generation() >= generation;
    }

    void advanceTo(EndpointList accepted) {
        generation = accepted.generation();
        fullSnapshotRequired = false;
        callCompleted = true;
    }

    void callFailed(CallFailure failure) {
        callCompleted = true;
        if (failure == CallFailure.MALFORMED_LIST) {
            fullSnapshotRequired = true;
        }
    }

    /** The generations of another service may be unrelated to those known. */
    void serviceReplaced() {
        fullSnapshotRequired = true;
    }
}
