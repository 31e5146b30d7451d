package loadbalancer.decision;

/** How an attempt ended, and whether the endpoint may have executed the request. */
public enum AttemptOutcome {
    /** A response that answers the request. */
    OK(true),
    /** The endpoint reported an error of its own. */
    ERROR(true),
    /** The endpoint refused the attempt before any work on it. */
    REJECTED(false),
    /** The endpoint did not respond before the deadline of the attempt. */
    TIMEOUT(true),
    /**
     * The request was not written: no connection to the endpoint could be opened, or the connection broke or the
     * deadline of the attempt passed first.
     */
    CONNECT_FAILED(false),
    /** The connection broke while the attempt was in flight. */
    RESET(true),
    /** This sidecar cancelled the attempt. */
    CANCELLED(true),
    /**
     * The host did not send the attempt, for example because the request was already finished, the endpoint was no
     * longer ready, or no further attempt or connection was permitted.
     */
    NOT_SENT(false),
    /** The endpoint sent bytes that are not a valid response of the protocol, or a response that made no progress. */
    MALFORMED_RESPONSE(true),
    /** The request itself is invalid; this says nothing about the endpoint. */
    INVALID_REQUEST(true);

    /** Whether the endpoint may have executed the request; false only if this outcome proves that it has not. */
    public final boolean mayHaveRun;

    AttemptOutcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }
}
