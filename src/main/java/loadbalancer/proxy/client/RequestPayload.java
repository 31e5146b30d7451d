package loadbalancer.proxy.client;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import loadbalancer.proxy.protocol.ProtocolConstants;

/**
 * The parts of a request that every attempt sends unchanged. {@code idempotencyKey} is null if the request has none;
 * {@code body} is a copy on the heap, shared by all attempts and never modified.
 */
record RequestPayload(HttpMethod method, String uri, String idempotencyKey, byte[] body) {
    private static final long MICROS_PER_MILLI = 1_000;
    /** Estimated memory of a request that is being handled, without its strings and its body. */
    private static final int OVERHEAD_BYTES = 2 * 1024;

    /** Returns the estimated memory of the request while it is being handled, in bytes. */
    long sizeBytes() {
        return OVERHEAD_BYTES + uri.length() + body.length;
    }

    /**
     * Creates the message of one attempt.
     *
     * @param remainingMicros how long the sidecar waits for the response; sent in whole milliseconds, at least 1
     */
    FullHttpRequest toHttpRequest(String requestId, long remainingMicros) {
        FullHttpRequest message =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, uri, Unpooled.wrappedBuffer(body));
        message.headers()
                .set(ProtocolConstants.REQUEST_ID, requestId)
                .set(ProtocolConstants.REMAINING_MILLIS, Math.max(1, remainingMicros / MICROS_PER_MILLI));
        if (idempotencyKey != null) {
            message.headers().set(ProtocolConstants.IDEMPOTENCY_KEY, idempotencyKey);
        }
        return message;
    }
}
