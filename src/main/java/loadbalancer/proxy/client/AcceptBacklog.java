package loadbalancer.proxy.client;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;

/**
 * Pauses and resumes accepting connections on one listener, and computes an upper bound on how long a connection waited
 * in the operating system's accept backlog. That wait counts against the deadline of the connection's first request. A
 * handler on the listener's pipeline; confined to the event loop.
 */
final class AcceptBacklog extends ChannelInboundHandlerAdapter {
    /** The most connections that Netty accepts in one read of a listener. */
    private static final int MAX_ACCEPTS_PER_READ = 16;

    private static final long NEVER = 0;

    private final ReadTrackingEventLoop eventLoop;
    private Channel listener;
    private int acceptedInRead;
    /** When connections may have begun to wait in the backlog; {@link #NEVER} if none can be waiting. */
    private long pausedMicros = NEVER;
    /** When accepting was last resumed, or last read a full batch; {@link #NEVER} while accepting is paused. */
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
            // Wakes the loop so that it reads all sockets; only then is it known whether any connection was waiting.
            eventLoop.nettyEventLoop().schedule(() -> {}, 1, TimeUnit.NANOSECONDS);
        } else {
            forgetPauseOnceRead();
            pausedMicros = pausedMicros == NEVER ? nowMicros : pausedMicros;
            resumedMicros = NEVER;
        }
    }

    /** The longest time, in microseconds, that a connection accepted now can have waited in the backlog. */
    long maxWaitMicros() {
        forgetPauseOnceRead();
        return pausedMicros == NEVER ? 0 : eventLoop.clock().nowMicros() - pausedMicros;
    }

    /** The first read of all sockets after accepting was resumed has accepted every connection that was waiting. */
    private void forgetPauseOnceRead() {
        boolean readSinceResumed = resumedMicros != NEVER && eventLoop.lastReadMicros() > resumedMicros;
        if (readSinceResumed) {
            pausedMicros = NEVER;
        }
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
