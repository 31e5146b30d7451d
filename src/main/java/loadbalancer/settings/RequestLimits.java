package loadbalancer.settings;

/**
 * What the site permits a sidecar to do for a request, and its limits on connections.
 *
 * @param maxAttempts most attempts of one request, 1 or more
 * @param hedging whether a request may have two attempts in flight
 * @param cancellation whether attempts may be cancelled; no rule uses it, the module cancels none
 * @param healthChecks whether endpoints may be asked for load reports
 * @param gossip whether sidecars may send messages to one another
 * @param retryAfter whether rejections tell clients after which time to retry
 * @param maxRetryAfterMicros longest Retry-After time that clients respect
 * @param connectionIdleTimeoutMicros connections without a request are closed after this time
 * @param connectTimeoutMicros an attempt that needs a new connection reaches its endpoint at most this much later
 * @param cpuMicrosPerRequest limit on the sidecar's processor time for a request; 0 if there is none; no rule uses it
 */
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
