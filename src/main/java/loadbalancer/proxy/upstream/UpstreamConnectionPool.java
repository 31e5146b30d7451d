package loadbalancer.proxy.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.EncoderException;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import loadbalancer.decision.AttemptOutcome;
import loadbalancer.proxy.eventloop.FaultIsolation;
import loadbalancer.proxy.eventloop.MonotonicClock;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import loadbalancer.proxy.memory.MessageMemory;
import loadbalancer.proxy.observability.TrafficStatistics;
import loadbalancer.proxy.protocol.EndpointList;

/**
 * Sends calls (attempts and health checks) on connections to the endpoints of the current list. An idle connection is
 * reused after its reuse delay. Otherwise a new connection is opened, within the limit of open connections. Each
 * connection carries one call at a time, and each call is written at most once.
 *
 * <p>All methods and the listeners of calls run on the event loop that owns the pool and its connections.
 */
public final class UpstreamConnectionPool {
    /**
     * The time after a response during which its connection is not reused. An endpoint may send a response twice, some
     * milliseconds apart. The second one must not be mistaken for the response to the next request.
     */
    public static final long REUSE_DELAY_MICROS = 30_000;

    /**
     * Idle connections are closed this long before the endpoint may close them, but not before half of the endpoint's
     * idle timeout. Otherwise a request could be sent on a connection that the endpoint is closing at the same time.
     */
    private static final long IDLE_MARGIN_MICROS = 2_000_000;

    private static final long SWEEP_INTERVAL_MILLIS = 1_000;

    private final EventLoop nettyEventLoop;
    private final MonotonicClock clock;
    private final ReadTrackingEventLoop eventLoop;
    private final long reuseDelayMicros;
    private final UpstreamEndpoints endpoints = new UpstreamEndpoints();
    private final UpstreamConnector connector;
    private final UpstreamConnection.ReleaseListener releaseListener = this::release;
    private long idleTimeoutMicros;

    /**
     * Creates a pool without endpoints and starts to close unusable idle connections periodically.
     *
     * @param reuseDelayMicros {@link #REUSE_DELAY_MICROS}, or 0 to reuse connections at once
     * @param maxConnections returns how many connections may be open; called before each new connection
     */
    public UpstreamConnectionPool(
            ReadTrackingEventLoop eventLoop,
            UpstreamTimeouts timeouts,
            long reuseDelayMicros,
            IntSupplier maxConnections,
            TrafficStatistics statistics,
            MessageMemory messageMemory) {
        this.eventLoop = eventLoop;
        this.reuseDelayMicros = reuseDelayMicros;
        nettyEventLoop = eventLoop.nettyEventLoop();
        clock = eventLoop.clock();
        connector = new UpstreamConnector(eventLoop, maxConnections, statistics, messageMemory);
        updateTimeouts(timeouts);
        nettyEventLoop.scheduleWithFixedDelay(
                () -> FaultIsolation.run("idle_connection_sweep", this::closeUnusableConnections),
                SWEEP_INTERVAL_MILLIS,
                SWEEP_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Applies a new idle timeout at once, and the other timeouts to connections that are opened from now on. */
    public void updateTimeouts(UpstreamTimeouts timeouts) {
        long endpointIdleMicros = timeouts.endpointIdleTimeoutMicros();
        idleTimeoutMicros = Math.max(endpointIdleMicros / 2, endpointIdleMicros - IDLE_MARGIN_MICROS);
        connector.updateTimeouts(timeouts);
    }

    /**
     * Applies an endpoint list. Closes the idle connections to endpoints that are draining or removed, were restarted
     * or have a new address.
     */
    public void updateEndpoints(EndpointList list) {
        endpoints.update(list);
    }

    int endpointCount() {
        return endpoints.size();
    }

    /** Returns the number of endpoints that are ready. */
    public int readyEndpointCount() {
        int count = 0;
        for (UpstreamEndpoint endpoint : endpoints.all()) {
            count += endpoint.isReady() ? 1 : 0;
        }
        return count;
    }

    /** Returns the number of connections that are open or being opened. */
    public int openConnectionCount() {
        return connector.openConnectionCount();
    }

    /** Closes the idle connections to one endpoint. Keeps the connections that are in use or being opened. */
    public void closeIdleConnections(String endpointId) {
        UpstreamEndpoint endpoint = endpoints.get(endpointId);
        if (endpoint != null) {
            endpoint.idleConnections().closeAll();
        }
    }

    /** Closes the connection that has been idle for the longest time. Returns false if there is no idle connection. */
    public boolean closeOldestIdleConnection() {
        IdleConnections oldest = null;
        for (UpstreamEndpoint endpoint : endpoints.all()) {
            IdleConnections idle = endpoint.idleConnections();
            if (!idle.isEmpty() && (oldest == null || idle.oldestIdleSinceMicros() < oldest.oldestIdleSinceMicros())) {
                oldest = idle;
            }
        }
        if (oldest == null) {
            return false;
        }
        oldest.closeOldest();
        return true;
    }

    private void closeUnusableConnections() {
        long nowMicros = clock.nowMicros();
        for (UpstreamEndpoint endpoint : endpoints.all()) {
            endpoint.idleConnections().closeUnusable(nowMicros, idleTimeoutMicros);
        }
    }

    /**
     * Starts a call. The call ends at once as {@link AttemptOutcome#NOT_SENT} if its endpoint is unknown or not ready,
     * and otherwise no later than its deadline.
     */
    public void startCall(UpstreamCall call) {
        long nowMicros = clock.nowMicros();
        UpstreamEndpoint endpoint = endpoints.get(call.endpointId());
        if (endpoint == null || !endpoint.isReady()) {
            call.endAsNotSent(nowMicros);
            return;
        }
        long timeoutMicros = call.deadlineMicros() - nowMicros;
        call.start(
                nowMicros, endpoint, nettyEventLoop.schedule(call::onDeadline, timeoutMicros, TimeUnit.MICROSECONDS));
        // Data that is still unread may end the call, change the state of its endpoint or close an idle connection.
        eventLoop.runAfterRecentRead(call::isClientInputRead, () -> assignConnection(call));
    }

    private void assignConnection(UpstreamCall call) {
        endIfNotSendable(call);
        if (call.hasEnded()) {
            return;
        }
        UpstreamConnection idle = call.endpoint()
                .idleConnections()
                .take(clock.nowMicros(), eventLoop.lastReadMicros(), idleTimeoutMicros);
        if (idle == null) {
            connect(call);
        } else {
            call.setChannel(idle.channel());
            write(call, idle);
        }
    }

    /** Ends the call if its endpoint is no longer ready or its deadline has passed. */
    private void endIfNotSendable(UpstreamCall call) {
        if (!call.endpoint().isReady()) {
            call.abort(AttemptOutcome.NOT_SENT);
        } else if (clock.nowMicros() >= call.deadlineMicros()) {
            call.abort(AttemptOutcome.CONNECT_FAILED);
        }
    }

    private void connect(UpstreamCall call) {
        if (!connector.canOpenConnection() && !closeOldestIdleConnection()) {
            call.end(AttemptOutcome.NOT_SENT);
            return;
        }
        ChannelFuture connectFuture = connector.connect(call.endpoint().address());
        Channel channel = connectFuture.channel();
        call.setChannel(channel);
        connectFuture.addListener(connected -> {
            if (call.hasEnded()) {
                channel.close();
            } else if (!connected.isSuccess()) {
                call.onConnectionLost();
            } else {
                eventLoop.runAfterRecentRead(call::isClientInputRead, () -> writeIfSendable(call, channel));
            }
        });
    }

    private void writeIfSendable(UpstreamCall call, Channel channel) {
        endIfNotSendable(call);
        if (!call.hasEnded()) {
            write(call, UpstreamConnection.of(channel));
        }
    }

    private void write(UpstreamCall call, UpstreamConnection connection) {
        FullHttpRequest request = call.createRequest(clock.nowMicros());
        request.headers()
                .set("Host", "api.internal")
                .set("Content-Length", request.content().readableBytes());
        connection.begin(call, releaseListener);
        int requestBytes = request.content().readableBytes();
        ChannelFuture writeFuture = connection.channel().writeAndFlush(request);
        connection.requestWritten(writeFuture, requestBytes);
        writeFuture.addListener(written -> {
            if (written.isSuccess()) {
                call.onRequestWritten();
            } else {
                connection.close();
                call.end(writeFailure(written.cause()));
            }
        });
    }

    /**
     * Returns the outcome of a call whose request was not written. A request that can't be encoded is invalid. In
     * either case the endpoint has not received the request.
     */
    private static AttemptOutcome writeFailure(Throwable cause) {
        return cause instanceof EncoderException ? AttemptOutcome.INVALID_REQUEST : AttemptOutcome.CONNECT_FAILED;
    }

    private void release(UpstreamCall call, UpstreamConnection connection) {
        if (!call.endpoint().isReady() || !call.isWritten()) {
            connection.close();
            return;
        }
        long nowMicros = clock.nowMicros();
        connection.becomeIdle(nowMicros, reuseDelayMicros > 0 ? nowMicros + reuseDelayMicros : 0);
        call.endpoint().idleConnections().add(connection);
    }
}
