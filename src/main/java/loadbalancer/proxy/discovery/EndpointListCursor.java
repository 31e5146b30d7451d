package loadbalancer.proxy.discovery;

import loadbalancer.proxy.protocol.EndpointList;

/**
 * The place in discovery's sequence of lists: which generation is known and what the next call has to fetch. Does no
 * input or output; owned by the event loop of its {@link DiscoveryWatch}.
 */
final class EndpointListCursor {
    private static final String PATH = "/registry/instances";

    private long generation;
    /** The known generation can't be continued: a malformed list came, or the service was replaced. */
    private boolean fullSnapshotRequired;
    /** A call has been answered or has failed, so the list of the configuration is as recent as can be had. */
    private boolean callCompleted;

    EndpointListCursor(long generation) {
        this.generation = generation;
    }

    boolean callCompleted() {
        return callCompleted;
    }

    /** Whether the next call is a long poll; a full snapshot and the changes since the start come at once. */
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
     * Whether {@code list} may be applied to the one known. An empty full snapshot may not, as it would end all
     * service.
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

    /** Generations of another service need not continue these. */
    void serviceReplaced() {
        fullSnapshotRequired = true;
    }
}
