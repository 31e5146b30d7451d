package loadbalancer.decision;

/**
 * {@code MALFORMED_RESPONSE}: something came back that is no answer. {@code INVALID_REQUEST}: the request itself was
 * found to be no good, which says nothing of the upstream.
 */
public enum AttemptOutcome {
    OK(true),
    ERROR(true),
    REJECTED(false),
    TIMEOUT(true),
    CONNECT_FAILED(false),
    RESET(true),
    CANCELLED(true),
    NOT_SENT(false),
    MALFORMED_RESPONSE(true),
    INVALID_REQUEST(true);

    /** False where the outcome proves that the attempt never ran. */
    public final boolean mayHaveRun;

    AttemptOutcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }
}
