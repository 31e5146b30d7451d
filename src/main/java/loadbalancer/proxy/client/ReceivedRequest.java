package loadbalancer.proxy.client;

import io.netty.handler.codec.http.FullHttpRequest;

/**
 * A request with its last byte received. Whoever holds the record owns the message and has to release it.
 *
 * @param sentMicros the latest time at which the client can have sent the last byte
 * @param backlogWaitMicros how much earlier it may have been, because the connection waited to be accepted
 */
record ReceivedRequest(FullHttpRequest message, long sentMicros, long backlogWaitMicros) {
    /** What a request takes beside its body. */
    private static final int OVERHEAD_BYTES = 1024;

    /** Approximate memory that the request takes. */
    int sizeBytes() {
        return OVERHEAD_BYTES + message.content().readableBytes();
    }
}
