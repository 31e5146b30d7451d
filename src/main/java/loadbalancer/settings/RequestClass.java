package loadbalancer.settings;

/** A class of requests. Times in microseconds; {@code worth} in points of the result. */
public record RequestClass(
        String name,
        Idempotency semantics,
        DeduplicationScope group,
        long windowUs,
        long aimUs,
        double aimStretch,
        long deadlineUs,
        double worth,
        double lateWorth,
        boolean stream) {}
