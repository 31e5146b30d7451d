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
    /** No connection to the endpoint could be opened, or it broke before the request was written. */
    CONNECT_FAILED(false),
    /** The connection broke while the attempt was in flight. */
    RESET(true),
    /** This sidecar cancelled the attempt. */
    CANCELLED(true),
    /** The host did not send the attempt: the request was already finished, or no further attempt was permitted. */
    NOT_SENT(false),
    /** The endpoint sent bytes that are not a valid response of the protocol. */
    MALFORMED_RESPONSE(true),
    /** The request itself is invalid; this says nothing about the endpoint. */
    INVALID_REQUEST(true);

    /** Whether the endpoint may have executed the request; false only if this outcome proves that it has not. */
    public final boolean mayHaveRun;

    AttemptOutcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }
}
