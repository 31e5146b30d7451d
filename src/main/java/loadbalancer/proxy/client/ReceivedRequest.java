package loadbalancer.proxy.client;

import io.netty.handler.codec.http.FullHttpRequest;

/**
 * A completely received request. The holder of the record owns the message and has to release it.
 *
 * @param sentMicros the latest time at which the client can have sent the last byte
 * @param backlogWaitMicros how much earlier the client may have sent it, because the connection waited in the backlog
 */
record ReceivedRequest(FullHttpRequest message, long sentMicros, long backlogWaitMicros) {
    /** Estimated memory of a request without its body. */
    private static final int OVERHEAD_BYTES = 1024;

    /** Estimated memory of the request, in bytes. */
    int sizeBytes() {
        return OVERHEAD_BYTES + message.content().readableBytes();
    }
}
