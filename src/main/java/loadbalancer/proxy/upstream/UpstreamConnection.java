package loadbalancer.proxy.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.AttributeKey;
import java.io.IOException;
import loadbalancer.proxy.protocol.HeaderNames;

/**
 * One connection to an endpoint, with one call at a time. It matches the response to the call and stays in use as long
 * as all that is read belongs to a call; with a byte more it is closed.
 *
 * <p>Owned by the event loop of its channel. A response is retained until it was delivered, and released then; a
 * listener that needs its body longer retains that.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    /** Gets a connection back after the response to its call, before the call ends. */
    @FunctionalInterface
    interface ReleaseListener {
        void release(UpstreamCall call, UpstreamConnection connection);
    }

    private static final AttributeKey<UpstreamConnection> ATTRIBUTE =
            AttributeKey.valueOf(UpstreamConnection.class, "connection");

    private final Channel channel;
    private final ResponseDecoder decoder = new ResponseDecoder();
    private final ResponseAggregator aggregator = new ResponseAggregator(HeaderNames.MAX_RESPONSE_BODY_BYTES);
    private final ResponseStallTimer stallTimer;
    /** Null while no call waits for its response. */
    private UpstreamCall call;

    private ReleaseListener releaseListener;
    /** The response to the call, kept until all that was read with it has been looked at. */
    private FullHttpResponse response;
    /** Something was read that is no response to the call. */
    private boolean malformed;

    private long idleSinceMicros;
    private long reusableFromMicros;

    private UpstreamConnection(Channel channel, long stallMicros) {
        this.channel = channel;
        stallTimer = new ResponseStallTimer(stallMicros, this::hasPartialResponse, this::failMalformed);
    }

    /** Gives a new channel its handlers. */
    static UpstreamConnection install(Channel channel, long stallMicros) {
        UpstreamConnection connection = new UpstreamConnection(channel, stallMicros);
        channel.attr(ATTRIBUTE).set(connection);
        channel.pipeline().addLast(new HttpRequestEncoder(), connection.decoder, connection.aggregator, connection);
        return connection;
    }

    /** The connection of a channel that was installed, even of one that is closed and has lost its handlers. */
    static UpstreamConnection of(Channel channel) {
        return channel.attr(ATTRIBUTE).get();
    }

    Channel channel() {
        return channel;
    }

    void close() {
        channel.close();
    }

    /** What is read from now on is the response to {@code next}. */
    void begin(UpstreamCall next, ReleaseListener listener) {
        call = next;
        releaseListener = listener;
    }

    /**
     * The connection is idle from now on.
     *
     * @param reusableAtMicros the end of the reuse delay
     */
    void becomeIdle(long nowMicros, long reusableAtMicros) {
        idleSinceMicros = nowMicros;
        reusableFromMicros = reusableAtMicros;
    }

    long idleSinceMicros() {
        return idleSinceMicros;
    }

    /** Whether an idle connection may still carry a call, now or after its reuse delay. */
    boolean isUsable(long nowMicros, long idleTimeoutMicros) {
        return channel.isActive() && !hasUnexpectedData() && nowMicros - idleSinceMicros < idleTimeoutMicros;
    }

    /**
     * Whether the reuse delay is over and all that came during it has been read; a busy event loop reads late.
     *
     * @param lastReadMicros when the last reading of all sockets began
     */
    boolean isReuseDelayOver(long lastReadMicros) {
        return lastReadMicros >= reusableFromMicros;
    }

    /** Whether anything was read after the last response: a further response could be taken for that to a next call. */
    private boolean hasUnexpectedData() {
        return malformed || response != null || hasPartialResponse();
    }

    private boolean hasPartialResponse() {
        return decoder.hasUndecodedBytes() || aggregator.inProgress();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse received) {
        if (call == null || response != null || !received.decoderResult().isSuccess()) {
            // Unsolicited, as a duplicate is, or no HTTP.
            malformed = true;
        } else if (received.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
            response = received.retain();
        }
    }

    /** Only when all of a read was decoded is it known whether something follows the response. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (response != null) {
            deliver(ctx);
        } else if (malformed || call == null && hasPartialResponse()) {
            failMalformed(ctx);
        } else if (hasPartialResponse()) {
            stallTimer.recordProgress(ctx);
        }
        ctx.fireChannelReadComplete();
    }

    private void deliver(ChannelHandlerContext ctx) {
        FullHttpResponse delivered = response;
        response = null;
        UpstreamCall completed = detachCall();
        try {
            if (HttpUtil.isKeepAlive(delivered) && !hasUnexpectedData() && channel.isActive()) {
                releaseListener.release(completed, this);
            } else {
                ctx.close();
            }
            ResponseClassifier.endCall(completed, delivered);
        } finally {
            delivered.release();
        }
    }

    /** Returns the call, or null, and waits for no response to it any more. */
    private UpstreamCall detachCall() {
        UpstreamCall detached = call;
        call = null;
        stallTimer.cancel();
        return detached;
    }

    private void failMalformed(ChannelHandlerContext ctx) {
        UpstreamCall failed = detachCall();
        ctx.close();
        if (failed != null) {
            failed.malformedResponse();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (response != null) {
            deliver(ctx);
        }
        UpstreamCall lost = detachCall();
        if (lost != null) {
            lost.connectionLost();
        }
    }

    /** A connection that broke is closed, which ends its call; anything else means that no response can be read. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (response != null) {
            malformed = true;
        } else if (cause instanceof IOException || cause instanceof PrematureChannelClosureException) {
            ctx.close();
        } else {
            failMalformed(ctx);
        }
    }
}
