package loadbalancer.proxy.client;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import loadbalancer.proxy.observability.LogRateLimit;
import loadbalancer.proxy.observability.SidecarLog;

/**
 * Pauses and resumes accepting connections on one listener, and computes an upper bound on the time that a connection
 * waited in the operating system's accept backlog because accepting was paused, or because the reads of the listener
 * accept a limited number. That time counts against the deadline of the connection's first request. A wait because the
 * event loop is late is not included; see {@link ReadTrackingEventLoop#currentLagMicros}. It is a handler in the
 * listener's pipeline. Confined to the event loop.
 *
 * <p>A failed accept pauses accepting, because the cause may last and the failure would be repeated without a pause.
 * {@link SidecarHttpServer#closeTimedOutConnections} resumes accepting within 100 ms.
 */
final class AcceptBacklog extends ChannelInboundHandlerAdapter {
    private static final long UNSET = 0;

    private final ReadTrackingEventLoop eventLoop;
    private final LogRateLimit failures = new LogRateLimit(1);
    private Channel listener;
    /**
     * The earliest time at which connections can have begun to wait because accepting was paused or limited;
     * {@link #UNSET} if none can be waiting for this reason.
     */
    private long waitingSinceMicros = UNSET;
    /**
     * When accepting was last resumed, or when a read last accepted as many connections as there was room for, so that
     * more may wait; {@link #UNSET} while accepting is paused and before its first pause.
     */
    private long resumedMicros = UNSET;
    /** Since when accepting has been paused; {@link #UNSET} while connections are accepted. */
    private long pausedSinceMicros = UNSET;

    private long pausedMicros;
    /** When the present read had accepted its connections, before they are set up; {@link #UNSET} between two reads. */
    private long readStartMicros = UNSET;

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
            pausedMicros += nowMicros - pausedSinceMicros;
            pausedSinceMicros = UNSET;
            // Until then it is not known whether a connection was waiting.
            eventLoop.readAllSocketsSoon();
        } else {
            resetWaitIfSocketsRead();
            waitingSinceMicros = waitingSinceMicros == UNSET ? nowMicros : waitingSinceMicros;
            resumedMicros = UNSET;
            pausedSinceMicros = nowMicros;
        }
    }

    /** Returns for how long accepting was paused since the last call, in microseconds, and resets it. */
    long resetPausedMicros() {
        long sumMicros = pausedMicros;
        pausedMicros = 0;
        if (pausedSinceMicros != UNSET) {
            long nowMicros = eventLoop.clock().nowMicros();
            sumMicros += nowMicros - pausedSinceMicros;
            pausedSinceMicros = nowMicros;
        }
        return sumMicros;
    }

    /**
     * Returns the longest time, in microseconds, that a connection accepted now can have waited because accepting was
     * paused or limited; 0 if it can't have waited for this reason.
     */
    long maxWaitMicros() {
        resetWaitIfSocketsRead();
        return waitingSinceMicros == UNSET ? 0 : eventLoop.clock().nowMicros() - waitingSinceMicros;
    }

    /**
     * Resets {@link #waitingSinceMicros} after the first read of all sockets since accepting was resumed, because that
     * read has accepted every connection that was waiting.
     */
    private void resetWaitIfSocketsRead() {
        boolean readSinceResumed = resumedMicros != UNSET && eventLoop.lastReadMicros() > resumedMicros;
        if (readSinceResumed) {
            waitingSinceMicros = UNSET;
        }
    }

    /** Handles a failed accept. The error is not passed on, since Netty would pause accepting for a second. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (failures.allowsLine(eventLoop.clock().nowMicros())) {
            SidecarLog.info("accept_failed error=" + SidecarLog.quote(cause) + failures.suppressedLines());
        }
        setAccepting(false);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object channel) {
        if (readStartMicros == UNSET) {
            readStartMicros = eventLoop.clock().nowMicros();
        }
        context.fireChannelRead(channel);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (AcceptAllocator.moreMayWait(listener)) {
            waitingSinceMicros = waitingSinceMicros == UNSET ? readStartMicros : waitingSinceMicros;
            resumedMicros = isAccepting() ? eventLoop.clock().nowMicros() : UNSET;
            eventLoop.readAllSocketsSoon();
        }
        readStartMicros = UNSET;
        context.fireChannelReadComplete();
    }
}
