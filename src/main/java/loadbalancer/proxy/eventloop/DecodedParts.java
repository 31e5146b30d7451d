package loadbalancer.proxy.eventloop;

import io.netty.channel.Channel;

/**
 * The parts that decoders make of received bytes: start lines, header fields, chunks and whole messages. The time that
 * the event loop spends on received bytes depends on their number far more than on the number of bytes. Stateless.
 */
public final class DecodedParts {
    /** A request that is decoded and handled costs about as much as this number of header fields. */
    public static final int PARTS_PER_REQUEST = 16;

    private DecodedParts() {}

    /**
     * Records that the bytes of the present read of {@code channel} contained these parts. Called on its event loop.
     */
    public static void record(Channel channel, int parts) {
        if (channel.unsafe().recvBufAllocHandle() instanceof ReadBuffers.BudgetedHandle handle) {
            handle.recordDecodedParts(parts);
        }
    }
}
