package loadbalancer.proxy.upstream;

/**
 * Time limits of connections to endpoints, in microseconds.
 *
 * @param idleMicros how long a connection is idle before its endpoint may close it
 * @param connectMicros how long opening a connection may take
 * @param stallMicros how long a response that has begun may make no progress before it counts as malformed
 */
public record UpstreamTimeouts(long idleMicros, long connectMicros, long stallMicros) {}
