package loadbalancer.proxy.eventloop;

import io.netty.channel.AdaptiveRecvByteBufAllocator;

/**
 * Allocates the buffers that sockets are read into. Their length adapts to the length of the reads of each connection.
 */
final class ReadBuffers extends AdaptiveRecvByteBufAllocator {
    private static final int MIN_BYTES = 64;
    private static final int INITIAL_BYTES = 2 * 1024;
    /** The start of a line that has not been read completely keeps its whole buffer, so buffers are short. */
    private static final int MAX_BYTES = 16 * 1024;

    ReadBuffers() {
        super(MIN_BYTES, INITIAL_BYTES, MAX_BYTES);
    }
}
