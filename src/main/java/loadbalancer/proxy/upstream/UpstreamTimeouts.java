package loadbalancer.proxy.upstream;

/**
 * Time limits of connections to endpoints, in microseconds.
 *
 * @param endpointIdleTimeoutMicros how long a connection is idle before its endpoint may close it
 * @param connectTimeoutMicros how long opening a connection may take
 * @param stallTimeoutMicros how long a response that has begun may make no progress before it counts as malformed
 */
public record UpstreamTimeouts(long endpointIdleTimeoutMicros, long connectTimeoutMicros, long stallTimeoutMicros) {}
