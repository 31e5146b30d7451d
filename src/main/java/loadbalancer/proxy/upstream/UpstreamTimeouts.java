package loadbalancer.proxy.upstream;

/**
 * Time limits of connections to endpoints.
 *
 * @param idleMicros after which an endpoint may close an idle connection
 * @param connectMicros for a connection to come up
 * @param stallMicros a response that has begun and then makes no progress for this long is malformed
 */
public record UpstreamTimeouts(long idleMicros, long connectMicros, long stallMicros) {}
