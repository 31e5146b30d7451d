package loadbalancer.decision;

/**
 * The result of one attempt.
 *
 * @param requestId id of the request that the attempt belongs to
 * @param attemptNumber number of the attempt within its request, from 0
 * @param endpointId id of the endpoint that the attempt was sent to
 * @param latencyMicros time from sending the attempt to its outcome
 * @param requestFinished whether the request needs no further attempt and no other final response, because of this
 *     outcome or already before it
 * @param loadReport the load report in the response, or null if there was none
 */
public record AttemptResult(
        String requestId,
        int attemptNumber,
        String endpointId,
        AttemptOutcome outcome,
        long latencyMicros,
        boolean requestFinished,
        LoadReport loadReport) {}
