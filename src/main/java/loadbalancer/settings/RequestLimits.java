package loadbalancer.settings;

/** {@code dialTimeoutUs}: a send that needs a new connection reaches its upstream at most so much later. */
public record RequestLimits(
        int maxAttempts,
        boolean secondCopies,
        boolean cancelling,
        boolean probing,
        boolean peers,
        boolean retryAfter,
        long maxRetryAfterUs,
        long connIdleUs,
        long dialTimeoutUs,
        double cpuUsPerRequest) {}
