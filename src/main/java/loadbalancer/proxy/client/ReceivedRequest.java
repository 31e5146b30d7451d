package loadbalancer.proxy.client;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import loadbalancer.proxy.memory.HeadMemory;

/**
 * A completely received request. The holder of the record owns the message and has to release it.
 *
 * @param sentMicros the latest time at which the client can have sent the last byte
 * @param maxBacklogWaitMicros the longest time that the request can have waited in the accept backlog; the client may
 *     have sent it that much earlier than {@code sentMicros}
 * @param sizeBytes the estimated memory of the request
 * @param rejected whether the request is rejected instead of being handled
 */
record ReceivedRequest(
        FullHttpRequest message, long sentMicros, long maxBacklogWaitMicros, int sizeBytes, boolean rejected) {
    /** Estimated memory of a rejected request, whose message has neither headers nor a body. */
    private static final int REJECTED_BYTES = 512;

    ReceivedRequest(FullHttpRequest message, long sentMicros, long maxBacklogWaitMicros) {
        this(message, sentMicros, maxBacklogWaitMicros, sizeBytes(message), false);
    }

    private static int sizeBytes(FullHttpRequest message) {
        return (int) HeadMemory.of(message.headers())
                + message.uri().length()
                + message.content().readableBytes();
    }

    /** Returns the request with a body that does not keep the buffer that it was read into, which is released. */
    ReceivedRequest withCopiedBody() {
        FullHttpRequest copy = message.replace(Unpooled.copiedBuffer(message.content()));
        message.release();
        return new ReceivedRequest(copy, sentMicros, maxBacklogWaitMicros, sizeBytes, rejected);
    }

    /** Releases the message and returns a request in its place that is rejected. */
    ReceivedRequest toRejected() {
        FullHttpRequest empty =
                new DefaultFullHttpRequest(message.protocolVersion(), message.method(), "", Unpooled.EMPTY_BUFFER);
        message.release();
        return new ReceivedRequest(empty, sentMicros, maxBacklogWaitMicros, REJECTED_BYTES, true);
    }
}
