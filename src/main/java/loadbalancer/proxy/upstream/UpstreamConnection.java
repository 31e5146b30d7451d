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
import loadbalancer.proxy.protocol.ProtocolConstants;

/**
 * One connection to an endpoint, which carries one call at a time and matches the response to it. It is closed as soon
 * as anything is read that does not belong to the response of a call.
 *
 * <p>Confined to the event loop of its channel. A response is retained until it has been delivered; a listener that
 * needs the body for longer has to retain it.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    /** Called when a connection has delivered the response to its call and may be reused, just before the call ends. */
    @FunctionalInterface
    interface ReleaseListener {
        void release(UpstreamCall call, UpstreamConnection connection);
    }

    private static final AttributeKey<UpstreamConnection> ATTRIBUTE =
            AttributeKey.valueOf(UpstreamConnection.class, "connection");

    private final Channel channel;
    private final ResponseDecoder decoder = new ResponseDecoder();
    private final ResponseAggregator aggregator = new ResponseAggregator(ProtocolConstants.MAX_RESPONSE_BODY_BYTES);
    private final ResponseStallTimer stallTimer;
    /** The call whose response is awaited; null if there is none. */
    private UpstreamCall call;

    private ReleaseListener releaseListener;
    /** The response to the call, kept until everything that was read together with it has been decoded. */
    private FullHttpResponse response;
    /** Something was read that is not the response to the call. */
    private boolean malformed;

    private long idleSinceMicros;
    private long reusableFromMicros;

    private UpstreamConnection(Channel channel, long stallMicros) {
        this.channel = channel;
        stallTimer = new ResponseStallTimer(stallMicros, this::hasPartialResponse, this::failMalformed);
    }

    /** Creates the connection of a new channel and adds its handlers to the pipeline. */
    static UpstreamConnection install(Channel channel, long stallMicros) {
        UpstreamConnection connection = new UpstreamConnection(channel, stallMicros);
        channel.attr(ATTRIBUTE).set(connection);
        channel.pipeline().addLast(new HttpRequestEncoder(), connection.decoder, connection.aggregator, connection);
        return connection;
    }

    /**
     * Returns the connection that was installed on a channel, even if the channel is closed and has lost its handlers.
     */
    static UpstreamConnection of(Channel channel) {
        return channel.attr(ATTRIBUTE).get();
    }

    Channel channel() {
        return channel;
    }

    void close() {
        channel.close();
    }

    /** Starts a call: what is read from now on is the response to {@code next}. */
    void begin(UpstreamCall next, ReleaseListener listener) {
        call = next;
        releaseListener = listener;
    }

    /**
     * Marks the connection as idle.
     *
     * @param reusableAtMicros when the reuse delay ends
     */
    void becomeIdle(long nowMicros, long reusableAtMicros) {
        idleSinceMicros = nowMicros;
        reusableFromMicros = reusableAtMicros;
    }

    long idleSinceMicros() {
        return idleSinceMicros;
    }

    /** Whether an idle connection may be used for another call, now or once its reuse delay is over. */
    boolean isUsable(long nowMicros, long idleTimeoutMicros) {
        return channel.isActive() && !hasUnexpectedData() && nowMicros - idleSinceMicros < idleTimeoutMicros;
    }

    /**
     * Whether the reuse delay is over and everything that arrived during it has been read; a busy event loop reads
     * late.
     *
     * @param lastReadMicros when the last reading of all sockets began
     */
    boolean isReuseDelayOver(long lastReadMicros) {
        return lastReadMicros >= reusableFromMicros;
    }

    /**
     * Whether anything was read after the last response. It could be another response, which would be mistaken for that
     * to the next call.
     */
    private boolean hasUnexpectedData() {
        return malformed || response != null || hasPartialResponse();
    }

    private boolean hasPartialResponse() {
        return decoder.hasUndecodedBytes() || aggregator.inProgress();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse received) {
        if (call == null || response != null || !received.decoderResult().isSuccess()) {
            // An unsolicited response, such as a duplicate, or not HTTP.
            malformed = true;
        } else if (received.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
            response = received.retain();
        }
    }

    /**
     * The response is delivered here, because only after a whole read is decoded is it known whether anything follows
     * it.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (response != null) {
            deliver(context);
        } else if (malformed || call == null && hasPartialResponse()) {
            failMalformed(context);
        } else if (hasPartialResponse()) {
            stallTimer.recordProgress(context);
        }
        context.fireChannelReadComplete();
    }

    private void deliver(ChannelHandlerContext context) {
        FullHttpResponse delivered = response;
        response = null;
        UpstreamCall completed = detachCall();
        try {
            if (HttpUtil.isKeepAlive(delivered) && !hasUnexpectedData() && channel.isActive()) {
                releaseListener.release(completed, this);
            } else {
                context.close();
            }
            ResponseClassifier.endCall(completed, delivered);
        } finally {
            delivered.release();
        }
    }

    /** Returns the call in progress, or null, and stops waiting for its response. */
    private UpstreamCall detachCall() {
        UpstreamCall detached = call;
        call = null;
        stallTimer.cancel();
        return detached;
    }

    private void failMalformed(ChannelHandlerContext context) {
        UpstreamCall failed = detachCall();
        context.close();
        if (failed != null) {
            failed.malformedResponse();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (response != null) {
            deliver(context);
        }
        UpstreamCall lost = detachCall();
        if (lost != null) {
            lost.connectionLost();
        }
    }

    /**
     * After an I/O error the connection is closed, which ends its call. Any other error means that the response is
     * malformed.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (response != null) {
            malformed = true;
        } else if (cause instanceof IOException || cause instanceof PrematureChannelClosureException) {
            context.close();
        } else {
            failMalformed(context);
        }
    }
}
