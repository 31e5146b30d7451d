package loadbalancer.proxy.discovery;

import loadbalancer.proxy.protocol.EndpointList;

/**
 * Tracks the generation of the known endpoint list and determines what the next call to discovery has to fetch.
 * Performs no I/O. Confined to the event loop of its {@link DiscoveryWatch}.
 */
final class EndpointListCursor {
    private static final String PATH = "/registry/instances";

    private long generation;
    /**
     * Whether the next list must be a full snapshot, because a list was malformed or because the address of discovery
     * has changed. Deltas can't be applied to the known list then.
     */
    private boolean fullSnapshotRequired;
    /** Whether the last call has succeeded; false before the first one. A failed call may have missed a change. */
    private boolean lastCallSucceeded;

    EndpointListCursor(long generation) {
        this.generation = generation;
    }

    /**
     * Returns whether the next call is a long poll, whose response discovery may delay until there is a change. Calls
     * before the first list, after a failed call and for a full snapshot ask for a response at once.
     */
    boolean nextCallIsLongPoll() {
        return lastCallSucceeded && !fullSnapshotRequired;
    }

    /** Returns the generation of the known list. */
    long generation() {
        return generation;
    }

    /** Returns whether calls with this request target are answered with a full snapshot. */
    static boolean isFullSnapshotTarget(String requestTarget) {
        return requestTarget.equals(PATH);
    }

    /** Returns the request target of the next call. */
    String nextRequestTarget(long longPollWaitMillis) {
        if (fullSnapshotRequired) {
            return PATH;
        }
        return PATH + "?index=" + generation + "&wait=" + (nextCallIsLongPoll() ? longPollWaitMillis : 0);
    }

    /**
     * Returns whether {@code list} may be applied. A full snapshot always may, also one without endpoints: no endpoint
     * that it leaves out may receive a new request. A delta may not if its generation is lower than the known one or if
     * a full snapshot is required.
     */
    boolean accepts(EndpointList list) {
        return list.fullSnapshot() || (!fullSnapshotRequired && list.generation() >= generation);
    }

    void advanceTo(EndpointList accepted) {
        generation = accepted.generation();
        fullSnapshotRequired = false;
        lastCallSucceeded = true;
    }

    void recordFailedCall(CallFailure failure) {
        lastCallSucceeded = false;
        if (failure == CallFailure.MALFORMED_LIST) {
            fullSnapshotRequired = true;
        }
    }

    /**
     * Makes the next call fetch a full snapshot. Called when the address of discovery changes, because discovery at
     * another address may count generations differently.
     */
    void requireFullSnapshot() {
        fullSnapshotRequired = true;
    }
}
