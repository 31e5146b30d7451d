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
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.eventloop.ClientBootstraps;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import loadbalancer.proxy.memory.ContentAccumulator;
import loadbalancer.proxy.memory.MemoryAccount;
import loadbalancer.proxy.memory.MessageMemory;
import loadbalancer.proxy.memory.PeerGroup;
import loadbalancer.proxy.observability.SidecarLog;
import loadbalancer.proxy.protocol.EndpointList;
import loadbalancer.proxy.protocol.MalformedEndpointListException;

/**
 * Fetches endpoint lists over a keep-alive connection. At most one call is in flight. A call that has timed out stays
 * open, see {@link OpenCalls}. All methods and callbacks run on the event loop that owns the connections. This class
 * releases the buffer of each response after parsing.
 */
final class DiscoveryClient {
    /**
     * Is called at most once for each call, or, for a call that times out, once for the timeout and once more if a list
     * arrives later, whether it can be used or is malformed. Cancelled calls are not reported. An implementation may
     * start the next call.
     */
    interface Listener {
        /**
         * Handles a list.
         *
         * @param fromPreviousAddress whether the list answers a call that was made before {@link #changeAddress}
         */
        void onResponse(EndpointList list, boolean fromPreviousAddress);

        /**
         * Handles the failure of the call in flight, or a malformed list in response to an overdue one.
         *
         * @param detail a key and a value for the log, in the form {@code key=value}; empty if there is none
         */
        void onFailure(CallFailure failure, String detail);
    }

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    /** Several times the length of an indented list of several thousand endpoints. */
    private static final int MAX_RESPONSE_BYTES = 8 << 20;

    /** How long a call stays open after its timeout, unless it has to make place for a later one. */
    private static final long MAX_OVERDUE_MILLIS = 60_000;

    private final EventLoop loop;
    private final MessageMemory messageMemory;
    private final Bootstrap bootstrap;
    private final Listener listener;
    /** The connection that the next call reuses; null if there is none. It may have been closed by discovery. */
    private Channel idleConnection;

    private final OpenCalls openCalls = new OpenCalls();

    DiscoveryClient(ReadTrackingEventLoop eventLoop, MessageMemory messageMemory, Listener listener) {
        loop = eventLoop.nettyEventLoop();
        this.messageMemory = messageMemory;
        this.listener = listener;
        bootstrap =
                ClientBootstraps.http(eventLoop, CONNECT_TIMEOUT_MILLIS, MAX_RESPONSE_BYTES, ConnectionHandler::new);
    }

    boolean hasCallInFlight() {
        return openCalls.hasCallInFlight();
    }

    /**
     * Starts a call. Must not be called while a call is in flight.
     *
     * @param address the address of discovery, used only if a new connection has to be opened
     */
    void fetch(InetSocketAddress address, String requestTarget, long timeoutMillis) {
        DiscoveryCall call = new DiscoveryCall(requestTarget);
        openCalls.start(call);
        call.timer = loop.schedule(this::handleTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
        if (idleConnection != null && idleConnection.isActive()) {
            call.connection = idleConnection;
            idleConnection = null;
            write(call);
        } else {
            connect(address, call);
        }
    }

    /** Cancels all calls without calling the listener, and closes all connections. */
    void cancel() {
        openCalls.abandonAll();
        closeIdleConnection();
    }

    /**
     * Prepares for calls to another address. Cancels all calls without calling the listener, except those for a full
     * snapshot, which become overdue: if the address changes again and again, the answer of a slow discovery would
     * otherwise never arrive.
     */
    void changeAddress() {
        closeIdleConnection();
        if (openCalls.hasCallInFlight()) {
            makeCallInFlightOverdue();
        }
        openCalls.keepFullSnapshotsOfPreviousAddress();
    }

    /** Closes the connection of the last response. */
    void closeIdleConnection() {
        if (idleConnection != null) {
            idleConnection.close();
            idleConnection = null;
        }
    }

    private void connect(InetSocketAddress address, DiscoveryCall call) {
        ChannelFuture connectFuture = bootstrap.connect(address);
        call.connection = connectFuture.channel();
        connectFuture.addListener(connected -> {
            if (!connected.isSuccess()) {
                fail(call, CallFailure.CONNECT_FAILED, "");
            } else if (openCalls.contains(call)) {
                write(call);
            }
        });
    }

    private void write(DiscoveryCall call) {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, call.requestTarget);
        request.headers().set("Host", "discovery");
        call.connection.writeAndFlush(request).addListener(written -> {
            if (!written.isSuccess()) {
                fail(call, CallFailure.CONNECTION_CLOSED, "");
            }
        });
    }

    /** Makes the call in flight overdue and reports the timeout. The next call gets another connection. */
    private void handleTimeout() {
        makeCallInFlightOverdue();
        listener.onFailure(CallFailure.TIMEOUT, "");
    }

    private void makeCallInFlightOverdue() {
        DiscoveryCall call = openCalls.callInFlight();
        call.timer.cancel(false);
        call.timer =
                loop.schedule(() -> fail(call, CallFailure.TIMEOUT, ""), MAX_OVERDUE_MILLIS, TimeUnit.MILLISECONDS);
        openCalls.makeCallInFlightOverdue();
    }

    /**
     * Ends a call and closes its connection. Reports the failure unless the call's timeout has been reported before; a
     * malformed list from the present address is always reported, because the next call has to ask for a full snapshot.
     */
    private void fail(DiscoveryCall call, CallFailure failure, String detail) {
        if (!openCalls.contains(call)) {
            return;
        }
        boolean timeoutReported = !openCalls.isInFlight(call);
        openCalls.abandon(call);
        boolean needsFullSnapshot = failure == CallFailure.MALFORMED_LIST && !call.toPreviousAddress;
        if (!timeoutReported || needsFullSnapshot) {
            listener.onFailure(failure, detail);
        }
    }

    private void handleResponse(DiscoveryCall call, FullHttpResponse response) {
        if (!response.decoderResult().isSuccess()) {
            String error = SidecarLog.quote(response.decoderResult().cause());
            fail(call, CallFailure.MALFORMED_RESPONSE, "error=" + error);
            return;
        }
        int status = response.status().code();
        if (status != HttpResponseStatus.OK.code()) {
            fail(call, CallFailure.UNEXPECTED_STATUS, "status=" + status);
            return;
        }
        EndpointList list;
        try {
            list = EndpointList.parse(ByteBufUtil.getBytes(response.content()));
        } catch (MalformedEndpointListException e) {
            fail(call, CallFailure.MALFORMED_LIST, "error=" + SidecarLog.quote(e.getMessage()));
            return;
        }
        complete(call, HttpUtil.isKeepAlive(response));
        listener.onResponse(list, call.toPreviousAddress);
    }

    /** Ends a call that has received its response. The next call reuses its connection if possible. */
    private void complete(DiscoveryCall call, boolean keepAlive) {
        openCalls.complete(call);
        closeIdleConnection();
        idleConnection = call.connection;
        if (!keepAlive || call.toPreviousAddress) {
            closeIdleConnection();
        }
    }

    /** Handles the events of one connection. Data that belongs to no open call closes the connection. */
    private final class ConnectionHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final ContentAccumulator body;
        private final MemoryAccount memoryAccount = messageMemory.openAccount(PeerGroup.DISCOVERY, this::freeMemory);
        private Channel connection;

        ConnectionHandler(ContentAccumulator body) {
            this.body = body;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            connection = context.channel();
        }

        /** Closes the connection, which fails its call, because all peers together hold too much memory. */
        private void freeMemory() {
            memoryAccount.close();
            connection.close();
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            memoryAccount.update(body.heldBytes(), body.heldBytes());
            messageMemory.enforceLimit();
            context.fireChannelReadComplete();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            DiscoveryCall call = openCalls.callOn(context.channel());
            if (call != null) {
                handleResponse(call, response);
            } else {
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            memoryAccount.close();
            DiscoveryCall call = openCalls.callOn(context.channel());
            if (call != null) {
                fail(call, CallFailure.CONNECTION_CLOSED, "");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
