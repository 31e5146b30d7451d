package loadbalancer.proxy.client;

import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;

/**
 * The listener's backlog while descriptors are used up: accepting pauses, connections wait there unseen, and with them
 * requests whose time runs on. On the listener's pipeline and its event loop, for one listener.
 */
final class AcceptBacklog extends ChannelInboundHandlerAdapter {
    /** Netty accepts at most so many connections in one reading of a listener. */
    private static final int MOST_PER_READING = 16;

    private final ReadTrackingEventLoop reads;
    private int accepted;
    /** Since when connections may wait; 0 where none do. */
    private long pausedUs;
    /** Since when what waits is being accepted; 0 while nothing is. */
    private long resumedUs;

    AcceptBacklog(ReadTrackingEventLoop reads) {
        this.reads = reads;
    }

    /** Whether connections are accepted from now on. */
    void accept(ChannelConfig listener, boolean accepting) {
        boolean changes = listener.isAutoRead() != accepting;
        listener.setAutoRead(accepting);
        if (!changes) {
            return;
        }
        long now = reads.clock().nowMicros();
        if (!accepting) {
            pausedUs = mayHold() ? pausedUs : now;
            resumedUs = 0;
        } else {
            resumedUs = now;
            // Due at once, in the next iteration: behind its reading it is known whether anything waited.
            reads.eventLoop().schedule(() -> {}, 1, TimeUnit.NANOSECONDS);
        }
    }

    /** How long a connection that is accepted now has waited at most, in microseconds. */
    long waitedUs() {
        return mayHold() ? reads.clock().nowMicros() - pausedUs : 0;
    }

    private boolean mayHold() {
        if (pausedUs > 0 && resumedUs > 0 && reads.lastReadMicros() > resumedUs) {
            // A whole reading since then has accepted all that waited.
            pausedUs = 0;
        }
        return pausedUs > 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object channel) {
        accepted++;
        context.fireChannelRead(channel);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (accepted >= MOST_PER_READING && resumedUs > 0) {
            resumedUs = reads.clock().nowMicros();
        }
        accepted = 0;
        context.fireChannelReadComplete();
    }
}
