package loadbalancer.settings;

/** A class of requests. Times in microseconds; {@code priorityWeight} in points of the result. */
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
