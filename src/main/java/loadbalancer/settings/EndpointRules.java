package loadbalancer.settings;

/** {@code closeOnDrainMicros} is 0 where idle connections to a draining upstream may stay open. */
public record EndpointRules(
        long drainGraceMicros,
        double slowStartInitialRatio,
        long slowStartMicros,
        double overloadMultiple,
        long overloadWindowMicros,
        long pollIntervalMicros,
        long responseSlackMicros,
        long closeOnDrainMicros) {}
