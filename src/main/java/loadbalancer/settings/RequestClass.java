package loadbalancer.settings;

/**
 * A class of requests that are handled by the same rules. Each request names its class.
 *
 * @param name unique among the classes
 * @param idempotency whether a request may be run more than once
 * @param deduplicationScope which endpoints drop repeats of a key; used only with
 *     {@link Idempotency#IDEMPOTENT_WITH_KEY}
 * @param deduplicationWindowMicros how long a key is remembered, from the send of the first attempt that may have run
 * @param latencyObjectiveMicros a response within this time has the full priority weight
 * @param latencyObjectiveWorkRatio if positive, the objective grows by this many times the request's own work
 * @param deadlineMicros longest time that clients of this class wait; a single request may allow less
 * @param priorityWeight value of a request against those of other classes; where load is shed, low weights go first
 * @param lateWeight part of the priority weight, 0 to 1, of a response between the objective and the deadline
 * @param streaming whether responses are streamed: once a stream has started there is no further attempt
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
        double lateWeight,
        boolean streaming) {}
