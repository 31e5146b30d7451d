package loadbalancer.proxy.client;

import io.netty.handler.codec.http.FullHttpRequest;

/**
 * A completely received request. The holder of the record owns the message and has to release it.
 *
 * @param sentMicros the latest time at which the client can have sent the last byte
 * @param maxBacklogWaitMicros the longest time that the request can have waited in the accept backlog; the client may
 *     have sent it that much earlier than {@code sentMicros}
 */
record ReceivedRequest(FullHttpRequest message, long sentMicros, long maxBacklogWaitMicros) {
    /** Estimated memory of a request without its body. */
    private static final int OVERHEAD_BYTES = 1024;

    /** Returns the estimated memory of the request, in bytes. */
    int sizeBytes() {
        return OVERHEAD_BYTES + message.content().readableBytes();
    }
}
