package loadbalancer.proxy.client;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;

/**
 * Pauses and resumes accepting on the pipeline of one listener, and bounds how long a connection waited in the system's
 * backlog meanwhile: the time for its first request runs there already. Confined to the event loop.
 */
final class AcceptBacklog extends ChannelInboundHandlerAdapter {
    /** Netty accepts at most so many connections in one read of a listener. */
    private static final int MAX_ACCEPTS_PER_READ = 16;

    private static final long NEVER = 0;

    private final ReadTrackingEventLoop eventLoop;
    private Channel listener;
    private int acceptedInRead;
    /** Since when connections may be waiting; {@link #NEVER} where none are. */
    private long pausedMicros = NEVER;
    /** Since when the waiting connections are being accepted; {@link #NEVER} while accepting is paused. */
    private long resumedMicros = NEVER;

    AcceptBacklog(ReadTrackingEventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        listener = context.channel();
    }

    boolean isAccepting() {
        return listener.config().isAutoRead();
    }

    void setAccepting(boolean accepting) {
        boolean changes = isAccepting() != accepting;
        listener.config().setAutoRead(accepting);
        if (!changes) {
            return;
        }
        long nowMicros = eventLoop.clock().nowMicros();
        if (accepting) {
            resumedMicros = nowMicros;
            // Wakes the loop for a read of all sockets, after which it is known whether any connection waited.
            eventLoop.eventLoop().schedule(() -> {}, 1, TimeUnit.NANOSECONDS);
        } else {
            pausedMicros = mayHoldConnections() ? pausedMicros : nowMicros;
            resumedMicros = NEVER;
        }
    }

    /** How long a connection that is accepted now has waited at most, in microseconds. */
    long maxWaitMicros() {
        return mayHoldConnections() ? eventLoop.clock().nowMicros() - pausedMicros : 0;
    }

    private boolean mayHoldConnections() {
        boolean readSinceResumed = resumedMicros != NEVER && eventLoop.lastReadMicros() > resumedMicros;
        if (readSinceResumed) {
            // A read of all sockets since then has accepted whatever waited.
            pausedMicros = NEVER;
        }
        return pausedMicros != NEVER;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object channel) {
        acceptedInRead++;
        context.fireChannelRead(channel);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        boolean moreMayWait = acceptedInRead >= MAX_ACCEPTS_PER_READ;
        if (moreMayWait && resumedMicros != NEVER) {
            resumedMicros = eventLoop.clock().nowMicros();
        }
        acceptedInRead = 0;
        context.fireChannelReadComplete();
    }
}
