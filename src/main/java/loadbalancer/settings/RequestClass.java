package loadbalancer.settings;

/**
 * Settings of a request class. Each request carries the name of its class.
 *
 * @param name name of the class, unique among the request classes
 * @param idempotency whether endpoints may execute a request of this class more than once
 * @param deduplicationScope set of endpoints that recognize a repeated idempotency key; used only with
 *     {@link Idempotency#IDEMPOTENT_WITH_KEY}
 * @param deduplicationWindowMicros time for which endpoints store an idempotency key, measured from the sending of the
 *     first attempt that an endpoint may have executed
 * @param latencyObjectiveMicros latency objective; a response within this time counts with the full priority weight
 * @param latencyObjectiveWorkRatio if positive, this ratio times the work of the request is added to the latency
 *     objective
 * @param deadlineMicros longest time that clients wait for a response; a single request may specify a shorter time
 * @param priorityWeight value of a request relative to requests of other classes; load shedding rejects requests with
 *     low weights first
 * @param lateWeightRatio fraction of the priority weight, 0 to 1, with which a response between the latency objective
 *     and the deadline counts
 * @param streaming whether responses are streamed; no further attempt is sent once a response stream has started
 */
public record RequestClass(
        String name,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long deduplicationWindowMicros,
        long latencyObjectiveMicros,
        double latencyObjectiveWorkRatio,
        long deadlineMicros,
        double priorityWeight,
        double lateWeightRatio,
        boolean streaming) {}
