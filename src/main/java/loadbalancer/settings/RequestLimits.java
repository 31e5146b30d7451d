package loadbalancer.settings;

/**
 * Limits on attempts and connections, and the optional mechanisms that a sidecar may use.
 *
 * @param maxAttempts maximum number of attempts for a request, 1 or more
 * @param hedging whether a request may have two attempts in flight at the same time
 * @param cancellation whether attempts may be cancelled; no rule uses this value, and the decision module cancels no
 *     attempt
 * @param healthChecks whether the sidecar may request load reports from endpoints by health checks
 * @param gossip whether sidecars may send messages to one another
 * @param retryAfter whether rejections may carry a Retry-After time
 * @param maxRetryAfterMicros longest Retry-After time that clients honor
 * @param connectionIdleTimeoutMicros idle time after which an endpoint may close a connection; the sidecar stops using
 *     the connection earlier
 * @param connectTimeoutMicros maximum time for opening a connection; delays an attempt that needs a new connection by
 *     at most this time
 * @param cpuMicrosPerRequest limit on the sidecar's processor time per request; 0 if there is no limit; no rule uses
 *     this value
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
