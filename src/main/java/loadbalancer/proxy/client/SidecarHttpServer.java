package loadbalancer.proxy.client;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import loadbalancer.proxy.eventloop.FaultIsolation;
import loadbalancer.proxy.eventloop.MonotonicClock;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import loadbalancer.proxy.memory.MessageMemory;
import loadbalancer.proxy.observability.TrafficStatistics;
import loadbalancer.settings.RequestClass;

/**
 * The HTTP server to which the application connects. It accepts connections within {@link ConnectionLimits}, reports
 * readiness, and shuts down without losing requests. The constructor, {@link #listen} and
 * {@link #delayReadinessForWarmUp} are called on the thread that starts the sidecar; all other methods on the event
 * loop.
 */
public final class SidecarHttpServer {
    /** How often it is checked, while accepting is paused, whether a connection may be evicted by now. */
    private static final long PAUSED_ACCEPT_CHECK_MILLIS = 10;

    private final ReadTrackingEventLoop eventLoop;
    private final MonotonicClock clock;
    private final RequestDispatcher dispatcher;
    private final RequestClasses requestClasses;
    private final RequestExchangeFactory exchangeFactory;
    private final BooleanSupplier hasUsableEndpointList;
    private final ConnectionLimits limits;
    private final TrafficStatistics statistics;
    private final MessageMemory messageMemory;
    private final ClientConnections connections;
    private final RecentRequestIds recentRequestIds;
    private final ConnectionCloseLog closeLog = new ConnectionCloseLog();
    private final LocalResponses localResponses = new LocalResponses(this::isReady);
    private final ClientListener listener;
    private final GracefulShutdown shutdown;
    /** Called with each request during the warm-up; null if no warm-up is in progress. */
    private Runnable onRequestDuringWarmUp;

    private boolean acceptCheckScheduled;

    /**
     * {@code hasUsableEndpointList} returns whether requests may be sent by the known endpoint list; the server reports
     * that it is not ready until then. It is called on the event loop.
     */
    public SidecarHttpServer(
            ReadTrackingEventLoop eventLoop,
            RequestDispatcher dispatcher,
            List<RequestClass> requestClasses,
            BooleanSupplier hasUsableEndpointList,
            ConnectionLimits limits,
            TrafficStatistics statistics,
            MessageMemory messageMemory) {
        this.eventLoop = eventLoop;
        clock = eventLoop.clock();
        this.dispatcher = dispatcher;
        this.requestClasses = new RequestClasses(requestClasses);
        this.hasUsableEndpointList = hasUsableEndpointList;
        this.limits = limits;
        this.statistics = statistics;
        this.messageMemory = messageMemory;
        connections = new ClientConnections(limits);
        listener = new ClientListener(eventLoop, this::connectionAccepted, this::admissibleConnectionCount);
        shutdown = new GracefulShutdown(eventLoop, listener, connections, this.requestClasses);
        recentRequestIds = new RecentRequestIds(messageMemory.limitBytes());
        dispatcher.setEndListener(this::requestEnded);
        exchangeFactory = new RequestExchangeFactory(
                eventLoop, new RequestParser(this.requestClasses), dispatcher, recentRequestIds, shutdown);
    }

    /** Replaces the request classes. Requests that are already dispatched keep their class and deadline. */
    public void updateRequestClasses(List<RequestClass> replacements) {
        requestClasses.replaceAll(replacements);
    }

    /** Returns the number of open connections of clients. */
    public int openConnectionCount() {
        return connections.size();
    }

    /**
     * Returns how the connections of clients were limited since the last call, as keys and values for the log with a
     * leading space.
     */
    public String summarizeConnectionsAndReset() {
        return connections.summarizeAndReset() + " accept_paused_millis=" + listener.resetPausedMicros() / 1_000
                + " remembered_request_ids=" + recentRequestIds.size();
    }

    /**
     * Listens on {@code address} and returns the bound address. Blocks until the socket is bound, so it must not be
     * called on the event loop.
     *
     * @throws java.net.BindException (not declared) if the address can't be bound
     */
    public InetSocketAddress listen(InetSocketAddress address) throws InterruptedException {
        return listener.bind(address);
    }

    /**
     * Makes the server report that it is not ready until {@link #warmUpCompleted} is called. Until then
     * {@code onRequest} runs on the event loop for each valid request, before it is dispatched. Must be called before
     * {@link #listen}.
     */
    public void delayReadinessForWarmUp(Runnable onRequest) {
        onRequestDuringWarmUp = onRequest;
    }

    public void warmUpCompleted() {
        onRequestDuringWarmUp = null;
    }

    /**
     * Runs the callback of the warm-up if one is in progress. Called for each valid request, before it is dispatched.
     */
    void requestAccepted() {
        if (isWarmingUp()) {
            onRequestDuringWarmUp.run();
        }
    }

    MessageMemory messageMemory() {
        return messageMemory;
    }

    LocalResponses localResponses() {
        return localResponses;
    }

    ConnectionCloseLog closeLog() {
        return closeLog;
    }

    boolean isReady() {
        return !isShuttingDown() && !isWarmingUp() && hasUsableEndpointList.getAsBoolean();
    }

    private boolean isWarmingUp() {
        return onRequestDuringWarmUp != null;
    }

    boolean isShuttingDown() {
        return shutdown.isRequested();
    }

    /** Returns whether one more connection may stay open for its client's next request. */
    boolean mayKeepIdleConnection() {
        return !isShuttingDown() && connections.mayKeepIdleConnection();
    }

    void idleConnectionAdded() {
        connections.idleConnectionAdded();
    }

    void idleConnectionRemoved() {
        connections.idleConnectionRemoved();
    }

    private void requestEnded(RequestExchange exchange) {
        if (exchange.mayHaveBeenExecuted()) {
            recentRequestIds.add(exchange.requestId(), exchange.source().recentIds());
        }
    }

    private int admissibleConnectionCount() {
        return isShuttingDown()
                ? Math.max(1, limits.freeDescriptors().getAsInt())
                : connections.admissibleAtOnce(eventLoop.lastReadMicros());
    }

    private void connectionAccepted(Channel channel) {
        dispatcher.failOverdueRequests();
        ClientConnection connection = new ClientConnection(
                channel, eventLoop, dispatcher, exchangeFactory, this, listener.maxBacklogWaitMicros());
        connections.add(connection);
        statistics.clientConnectionAccepted();
        connections.evictUntilOneIsFree(eventLoop.lastReadMicros());
        updateAccepting();
        channel.closeFuture().addListener(closed -> {
            connections.remove(connection);
            updateAccepting();
        });
        connection.addHandlers();
    }

    /**
     * Pauses or resumes accepting. Accepting is paused at the maximum number of connections, because upstream
     * connections need file descriptors too, and while no file descriptor is available, unless a connection may be
     * evicted; further connections wait in the accept backlog. During a shutdown the maximum is ignored, so that
     * connections that are already in the backlog are still served.
     */
    private void updateAccepting() {
        boolean accepting = isShuttingDown()
                ? limits.descriptorAvailable().getAsBoolean()
                : connections.canAdmit(eventLoop.lastReadMicros());
        listener.setAccepting(accepting);
        if (!accepting && !acceptCheckScheduled) {
            acceptCheckScheduled = true;
            eventLoop
                    .nettyEventLoop()
                    .schedule(this::checkPausedAccepting, PAUSED_ACCEPT_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void checkPausedAccepting() {
        acceptCheckScheduled = false;
        if (listener.isOpen()) {
            FaultIsolation.run("accept_check", this::updateAccepting);
        }
    }

    /**
     * Closes connections that occupy a file descriptor without using it: those that have sent no request in time, those
     * whose request has been incomplete for too long, and those that have been idle for too long. At the maximum number
     * of connections, also closes one that has been silent for a shorter time. Resumes accepting once upstream
     * connections have released file descriptors. Called every 100 ms by the sidecar's maintenance task.
     */
    public void closeTimedOutConnections() {
        connections.closeTimedOut(clock.nowMicros());
        connections.evictUntilOneIsFree(eventLoop.lastReadMicros());
        updateAccepting();
    }

    /**
     * Starts the graceful shutdown: requests are served until clients have stopped sending them. Runs {@code onStopped}
     * on the event loop once the listener and all connections are closed.
     */
    public void shutDownGracefully(Runnable onStopped) {
        shutdown.start(onStopped);
    }
}
