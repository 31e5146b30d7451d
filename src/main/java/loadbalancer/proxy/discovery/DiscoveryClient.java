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
import loadbalancer.proxy.protocol.EndpointList;
import loadbalancer.proxy.protocol.MalformedEndpointListException;

/**
 * Fetches endpoint lists over one keep-alive connection, one call at a time. All methods and callbacks run on the event
 * loop that owns the connection. Response buffers are released here after parsing.
 */
final class DiscoveryClient {
    /** Called exactly once for each call that is not cancelled. It may start the next call. */
    interface Listener {
        void onResponse(EndpointList list);

        /** The call failed and its connection is closed. {@code detail} is a key and value for the log, or empty. */
        void onFailure(CallFailure failure, String detail);
    }

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    /** Enough for a list of several thousand endpoints. */
    private static final int MAX_RESPONSE_BYTES = 1 << 20;

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final Listener listener;
    /** Null before the first call and after the connection was closed here. */
    private Channel channel;
    /** The call in flight, or null. Events of any other call are outdated and ignored. */
    private Call inFlight;

    /** One call. Compared by identity, to recognize events of earlier calls. */
    private static final class Call {
        final String target;
        Future<?> timeout;

        Call(String target) {
            this.target = target;
        }
    }

    DiscoveryClient(EventLoop loop, Listener listener) {
        this.loop = loop;
        this.listener = listener;
        bootstrap = ClientBootstraps.http(loop, CONNECT_TIMEOUT_MILLIS, MAX_RESPONSE_BYTES, ResponseHandler::new);
    }

    boolean callInFlight() {
        return inFlight != null;
    }

    /** Starts a call; none may be in flight. {@code address} is used only if a new connection has to be opened. */
    void fetch(InetSocketAddress address, String target, long timeoutMillis) {
        Call call = new Call(target);
        inFlight = call;
        call.timeout = loop.schedule(() -> fail(call, CallFailure.TIMEOUT, ""), timeoutMillis, TimeUnit.MILLISECONDS);
        if (channel != null && channel.isActive()) {
            write(call);
        } else {
            connect(address, call);
        }
    }

    /** Ends the call in flight, if any, without calling the listener, and closes the connection. */
    void cancel() {
        if (inFlight != null) {
            finishCall();
        }
        closeConnection();
    }

    void closeConnection() {
        Channel closing = channel;
        channel = null;
        if (closing != null) {
            closing.close();
        }
    }

    private void connect(InetSocketAddress address, Call call) {
        ChannelFuture connecting = bootstrap.connect(address);
        channel = connecting.channel();
        connecting.addListener(connected -> {
            if (!connected.isSuccess()) {
                fail(call, CallFailure.CONNECT_FAILED, "");
            } else if (inFlight == call) {
                write(call);
            }
        });
    }

    private void write(Call call) {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, call.target);
        request.headers().set("Host", "discovery");
        channel.writeAndFlush(request).addListener(written -> {
            if (!written.isSuccess()) {
                fail(call, CallFailure.CONNECTION_CLOSED, "");
            }
        });
    }

    private void finishCall() {
        inFlight.timeout.cancel(false);
        inFlight = null;
    }

    private void fail(Call call, CallFailure failure, String detail) {
        if (inFlight != call) {
            return;
        }
        finishCall();
        // A late response on this connection must not be mistaken for the response to the next call.
        closeConnection();
        listener.onFailure(failure, detail);
    }

    private void receive(FullHttpResponse response) {
        int status = response.status().code();
        if (status != HttpResponseStatus.OK.code() || !response.decoderResult().isSuccess()) {
            fail(inFlight, CallFailure.UNEXPECTED_STATUS, "status=" + status);
            return;
        }
        EndpointList list;
        try {
            list = EndpointList.parse(ByteBufUtil.getBytes(response.content()));
        } catch (MalformedEndpointListException e) {
            fail(inFlight, CallFailure.MALFORMED_LIST, "error=" + e.getMessage());
            return;
        }
        finishCall();
        if (!HttpUtil.isKeepAlive(response)) {
            closeConnection();
        }
        listener.onResponse(list);
    }

    /** Handles what belongs to the call in flight. A response without a call closes its connection. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (inFlight != null && context.channel() == channel) {
                receive(response);
            } else {
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (inFlight != null && context.channel() == channel) {
                fail(inFlight, CallFailure.CONNECTION_CLOSED, "");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
