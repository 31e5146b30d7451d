package loadbalancer.decision;

/**
 * The result of one attempt.
 *
 * @param requestId the request that the attempt belongs to
 * @param attemptNumber number of the attempt within its request, from 0
 * @param endpointId the endpoint that the attempt was sent to
 * @param latencyMicros time from sending the attempt to its outcome
 * @param requestDone whether the request is finished, either by this outcome or before it
 * @param loadReport the load report in the response, or null if there was none
 */
public record AttemptResult(
        String requestId,
        int attemptNumber,
        String endpointId,
        AttemptOutcome outcome,
        long latencyMicros,
        boolean requestDone,
        LoadReport loadReport) {}
