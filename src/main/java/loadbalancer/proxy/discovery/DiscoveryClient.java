package loadbalancer.proxy.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.eventloop.ClientBootstraps;
import loadbalancer.proxy.observability.SidecarLog;
import loadbalancer.proxy.protocol.EndpointList;
import loadbalancer.proxy.protocol.MalformedEndpointListException;

/**
 * Fetches endpoint lists over one keep-alive connection, one call at a time. All methods and callbacks run on the event
 * loop that owns the connection. This class releases the buffer of each response after parsing.
 */
final class DiscoveryClient {
    /** Is called exactly once for each call that is not cancelled. An implementation may start the next call. */
    interface Listener {
        void onResponse(EndpointList list);

        /**
         * Handles the failure of a call, whose connection is already closed.
         *
         * @param detail a key and a value for the log, in the form {@code key=value}; empty if there is none
         */
        void onFailure(CallFailure failure, String detail);
    }

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    /** Large enough for a list of several thousand endpoints. */
    private static final int MAX_RESPONSE_BYTES = 1 << 20;

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final Listener listener;
    /** Null before the first call, and after this client has closed the connection. */
    private Channel channel;
    /** Null if no call is in flight. Events of any other call are outdated and are ignored. */
    private Call callInFlight;

    /** One call to discovery. Calls are compared by identity, so that events of earlier calls are recognized. */
    private static final class Call {
        final String requestTarget;
        Future<?> timeout;

        Call(String requestTarget) {
            this.requestTarget = requestTarget;
        }
    }

    DiscoveryClient(EventLoop loop, Listener listener) {
        this.loop = loop;
        this.listener = listener;
        bootstrap = ClientBootstraps.http(loop, CONNECT_TIMEOUT_MILLIS, MAX_RESPONSE_BYTES, ConnectionHandler::new);
    }

    boolean hasCallInFlight() {
        return callInFlight != null;
    }

    /**
     * Starts a call. Must not be called while a call is in flight.
     *
     * @param address the address of discovery, used only if a new connection has to be opened
     */
    void fetch(InetSocketAddress address, String requestTarget, long timeoutMillis) {
        Call call = new Call(requestTarget);
        callInFlight = call;
        call.timeout = loop.schedule(() -> fail(call, CallFailure.TIMEOUT, ""), timeoutMillis, TimeUnit.MILLISECONDS);
        if (channel != null && channel.isActive()) {
            write(call);
        } else {
            connect(address, call);
        }
    }

    /** Cancels the call in flight, if there is one, without calling the listener, and closes the connection. */
    void cancel() {
        if (callInFlight != null) {
            finishCall();
        }
        closeConnection();
    }

    void closeConnection() {
        Channel channelToClose = channel;
        channel = null;
        if (channelToClose != null) {
            channelToClose.close();
        }
    }

    private void connect(InetSocketAddress address, Call call) {
        ChannelFuture connectFuture = bootstrap.connect(address);
        channel = connectFuture.channel();
        connectFuture.addListener(connected -> {
            if (!connected.isSuccess()) {
                fail(call, CallFailure.CONNECT_FAILED, "");
            } else if (callInFlight == call) {
                write(call);
            }
        });
    }

    private void write(Call call) {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, call.requestTarget);
        request.headers().set("Host", "discovery");
        channel.writeAndFlush(request).addListener(written -> {
            if (!written.isSuccess()) {
                fail(call, CallFailure.CONNECTION_CLOSED, "");
            }
        });
    }

    private void finishCall() {
        callInFlight.timeout.cancel(false);
        callInFlight = null;
    }

    private void fail(Call call, CallFailure failure, String detail) {
        if (callInFlight != call) {
            return;
        }
        finishCall();
        // A late response on this connection must not be mistaken for the response to the next call.
        closeConnection();
        listener.onFailure(failure, detail);
    }

    private void handleResponse(FullHttpResponse response) {
        int status = response.status().code();
        if (status != HttpResponseStatus.OK.code() || !response.decoderResult().isSuccess()) {
            fail(callInFlight, CallFailure.UNEXPECTED_STATUS, "status=" + status);
            return;
        }
        EndpointList list;
        try {
            list = EndpointList.parse(ByteBufUtil.getBytes(response.content()));
        } catch (MalformedEndpointListException e) {
            fail(callInFlight, CallFailure.MALFORMED_LIST, "error=" + SidecarLog.quote(e.getMessage()));
            return;
        }
        finishCall();
        if (!HttpUtil.isKeepAlive(response)) {
            closeConnection();
        }
        listener.onResponse(list);
    }

    /**
     * Handles the events of the current connection while a call is in flight. A response on another connection, or
     * without a call in flight, closes its connection.
     */
    private final class ConnectionHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (callInFlight != null && context.channel() == channel) {
                handleResponse(response);
            } else {
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (callInFlight != null && context.channel() == channel) {
                fail(callInFlight, CallFailure.CONNECTION_CLOSED, "");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
