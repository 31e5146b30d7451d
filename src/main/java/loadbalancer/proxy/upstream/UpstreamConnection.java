package loadbalancer.proxy.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.AttributeKey;
import java.io.IOException;
import loadbalancer.proxy.memory.ContentAccumulator;
import loadbalancer.proxy.memory.MemoryAccount;
import loadbalancer.proxy.memory.MessageMemory;
import loadbalancer.proxy.memory.PeerGroup;
import loadbalancer.proxy.protocol.ProtocolConstants;

/**
 * One connection to an endpoint. It carries one call at a time and passes the response to this call. The connection is
 * closed when anything is read that does not belong to the response to a call.
 *
 * <p>Confined to the event loop of its channel. A response is retained until it has been delivered. A listener that
 * needs the body for longer must retain it.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    /** Is called just before a call ends with a complete response, if its connection may be reused. */
    @FunctionalInterface
    interface ReleaseListener {
        void release(UpstreamCall call, UpstreamConnection connection);
    }

    private static final AttributeKey<UpstreamConnection> CONNECTION_ATTRIBUTE =
            AttributeKey.valueOf(UpstreamConnection.class, "connection");

    private final Channel channel;
    private final ResponseDecoder decoder = new ResponseDecoder();
    private final ContentAccumulator body = new ContentAccumulator(ProtocolConstants.MAX_RESPONSE_BODY_BYTES);
    private final ResponseAggregator aggregator = new ResponseAggregator(ProtocolConstants.MAX_RESPONSE_BODY_BYTES);
    private final ResponseStallTimer stallTimer;
    private final MessageMemory messageMemory;
    private final MemoryAccount memoryAccount;
    /** The size of the request that is written but not sent completely; 0 if there is none. */
    private long unsentRequestBytes;
    /** The call that awaits its response, or null if there is none. */
    private UpstreamCall call;

    private ReleaseListener releaseListener;
    /**
     * The response to the call, kept until all data that was read together with it has been decoded; otherwise null.
     */
    private FullHttpResponse response;
    /** Whether anything was read that is not the response to the call. */
    private boolean malformed;

    private long idleSinceMicros;
    private long reusableFromMicros;

    private UpstreamConnection(Channel channel, long stallTimeoutMicros, MessageMemory messageMemory) {
        this.channel = channel;
        this.messageMemory = messageMemory;
        memoryAccount = messageMemory.openAccount(PeerGroup.ENDPOINTS, this::freeMemory);
        stallTimer = new ResponseStallTimer(stallTimeoutMicros, this::hasPartialResponse, context -> failMalformed());
    }

    /** Creates the connection for a new channel and adds its handlers to the pipeline. */
    static UpstreamConnection install(Channel channel, long stallTimeoutMicros, MessageMemory messageMemory) {
        UpstreamConnection connection = new UpstreamConnection(channel, stallTimeoutMicros, messageMemory);
        channel.attr(CONNECTION_ATTRIBUTE).set(connection);
        channel.pipeline()
                .addLast(
                        new HttpRequestEncoder(),
                        connection.decoder,
                        connection.body,
                        connection.aggregator,
                        connection);
        return connection;
    }

    /**
     * Returns the connection that was installed on a channel, even if the channel is closed and its handlers are
     * removed.
     */
    static UpstreamConnection of(Channel channel) {
        return channel.attr(CONNECTION_ATTRIBUTE).get();
    }

    Channel channel() {
        return channel;
    }

    void close() {
        channel.close();
    }

    /** Starts a call. Data that is read from now on belongs to the response to {@code next}. */
    void begin(UpstreamCall next, ReleaseListener listener) {
        call = next;
        releaseListener = listener;
    }

    /**
     * Marks the connection as idle.
     *
     * @param reusableFromMicros when the reuse delay ends; 0 if there is no delay
     */
    void becomeIdle(long nowMicros, long reusableFromMicros) {
        idleSinceMicros = nowMicros;
        this.reusableFromMicros = reusableFromMicros;
    }

    long idleSinceMicros() {
        return idleSinceMicros;
    }

    /** Returns whether an idle connection may be used for another call, now or after its reuse delay. */
    boolean isUsable(long nowMicros, long idleTimeoutMicros) {
        return channel.isActive() && !hasUnexpectedData() && nowMicros - idleSinceMicros < idleTimeoutMicros;
    }

    /**
     * Returns whether the reuse delay is over and all data that arrived during the delay has been read. A busy event
     * loop reads data late.
     *
     * @param lastReadMicros when the event loop last began to read all sockets
     */
    boolean isReuseDelayOver(long lastReadMicros) {
        return lastReadMicros >= reusableFromMicros;
    }

    /**
     * Returns whether anything was read after the last response. It could be another response, which would be mistaken
     * for the response to the next call.
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
            // The message is an unsolicited response, such as a duplicate, or it is not valid HTTP.
            malformed = true;
        } else if (received.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
            response = received.retain();
        }
    }

    /**
     * Delivers the response. The response is delivered only after all data of a read has been decoded, because other
     * data may follow it.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (response != null) {
            deliver(context);
        } else if (malformed || call == null && hasPartialResponse()) {
            failMalformed();
        } else if (hasPartialResponse()) {
            stallTimer.recordProgress(context);
        }
        updateMemory();
        messageMemory.enforceLimit();
        context.fireChannelReadComplete();
    }

    private void updateMemory() {
        long heldBytes = decoder.undecodedBytes() + decoder.headBytes() + body.heldBytes() + unsentRequestBytes;
        memoryAccount.update(heldBytes, heldBytes);
    }

    /** Ends the call because the unfinished messages of all peers together hold too much memory. */
    private void freeMemory() {
        memoryAccount.close();
        failMalformed();
    }

    /** Accounts for a request until {@code written} completes. */
    void requestWritten(ChannelFuture written, long requestBytes) {
        if (written.isDone()) {
            return;
        }
        unsentRequestBytes = requestBytes;
        updateMemory();
        written.addListener(done -> {
            unsentRequestBytes = 0;
            updateMemory();
        });
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

    /** Returns the call in progress, or null if there is none, and stops waiting for its response. */
    private UpstreamCall detachCall() {
        UpstreamCall detached = call;
        call = null;
        stallTimer.cancel();
        return detached;
    }

    private void failMalformed() {
        UpstreamCall failed = detachCall();
        channel.close();
        if (failed != null) {
            failed.onMalformedResponse();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        memoryAccount.close();
        if (response != null) {
            deliver(context);
        }
        UpstreamCall lost = detachCall();
        if (lost != null) {
            lost.onConnectionLost();
        }
    }

    /**
     * Closes the connection after an I/O error or an early end of the response, which ends its call. Treats any other
     * error as a malformed response. If a complete response waits for delivery, only marks the connection as malformed,
     * so that it is closed when the response is delivered.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (response != null) {
            malformed = true;
        } else if (cause instanceof IOException || cause instanceof PrematureChannelClosureException) {
            context.close();
        } else {
            failMalformed();
        }
    }
}
