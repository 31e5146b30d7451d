package loadbalancer.decision;

/**
 * How one attempt ended.
 *
 * @param requestId the request that the attempt belongs to
 * @param attemptNumber number of the attempt within its request, from 0
 * @param endpointId the endpoint that it was sent to
 * @param latencyMicros time from the send to the outcome
 * @param requestDone whether the request is over, by this outcome or already before it
 * @param loadReport the load report that came with the response, or null
 */
public record AttemptResult(
        String requestId,
        int attemptNumber,
        String endpointId,
        AttemptOutcome outcome,
        long latencyMicros,
        boolean requestDone,
        LoadReport loadReport) {}
