package loadbalancer.settings;

/** {@code connectTimeoutMicros}: a send that needs a new connection reaches its upstream at most so much later. */
public record RequestLimits(
        int maxAttempts,
        boolean hedging,
        boolean cancellation,
        boolean healthChecks,
        boolean gossip,
        boolean retryAfter,
        long maxRetryAfterMicros,
        long connectionIdleTimeoutMicros,
        long connectTimeoutMicros,
        double cpuMicrosPerRequest) {}
