package loadbalancer.proxy.client;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.BooleanSupplier;
import loadbalancer.proxy.eventloop.MonotonicClock;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import loadbalancer.proxy.observability.TrafficStatistics;
import loadbalancer.settings.RequestClass;

/**
 * The sidecar's HTTP server for the application: accepts its connections within {@link ConnectionLimits}, says whether
 * the sidecar is ready, and shuts down without losing requests. Apart from the constructor, {@link #listen} and
 * {@link #holdReadinessForWarmUp}, which run before the server has clients, methods are called on the event loop.
 */
public final class ClientServer {
    private final ReadTrackingEventLoop eventLoop;
    private final MonotonicClock clock;
    private final RequestDispatcher dispatcher;
    private final RequestClasses requestClasses;
    private final RequestExchangeFactory exchangeFactory;
    private final BooleanSupplier canServe;
    private final ConnectionLimits limits;
    private final TrafficStatistics statistics;
    private final ClientConnections connections;
    private final ClientListener listener;
    private final GracefulShutdown shutdown;
    /** Called with each request during the warm-up; null while there is none. */
    private Runnable onRequestDuringWarmUp;

    /**
     * {@code canServe} says whether there are endpoints to forward requests to; without any, the server is not ready.
     */
    public ClientServer(
            ReadTrackingEventLoop eventLoop,
            RequestDispatcher dispatcher,
            List<RequestClass> requestClasses,
            BooleanSupplier canServe,
            ConnectionLimits limits,
            TrafficStatistics statistics) {
        this.eventLoop = eventLoop;
        clock = eventLoop.clock();
        this.dispatcher = dispatcher;
        this.requestClasses = new RequestClasses(requestClasses);
        this.canServe = canServe;
        this.limits = limits;
        this.statistics = statistics;
        connections = new ClientConnections(limits);
        listener = new ClientListener(eventLoop, this::connectionAccepted);
        shutdown = new GracefulShutdown(eventLoop, listener, connections, this.requestClasses);
        exchangeFactory =
                new RequestExchangeFactory(eventLoop, new RequestParser(this.requestClasses), dispatcher, shutdown);
    }

    /** Replaces the request classes. Requests that are already dispatched keep their class and deadline. */
    public void updateRequestClasses(List<RequestClass> replacements) {
        requestClasses.replaceAll(replacements);
    }

    /** How many connections of clients are open. */
    public int openConnections() {
        return connections.size();
    }

    /** Listens on {@code address}, returns the bound address; called by another thread than the event loop's. */
    public InetSocketAddress listen(InetSocketAddress address) throws InterruptedException {
        return listener.bind(address);
    }

    /** Reports not ready until {@link #warmUpCompleted}; {@code onRequest} runs with each request that comes before. */
    public void holdReadinessForWarmUp(Runnable onRequest) {
        onRequestDuringWarmUp = onRequest;
    }

    public void warmUpCompleted() {
        onRequestDuringWarmUp = null;
    }

    /** A valid request was received and is about to be dispatched. */
    void requestAccepted() {
        if (onRequestDuringWarmUp != null) {
            onRequestDuringWarmUp.run();
        }
    }

    boolean isReady() {
        return !isShuttingDown() && onRequestDuringWarmUp == null && canServe.getAsBoolean();
    }

    boolean isShuttingDown() {
        return shutdown.isRequested();
    }

    /** Whether one more connection may stay open for its client's next request. */
    boolean mayKeepIdleConnection() {
        return !isShuttingDown() && connections.mayKeepIdleConnection();
    }

    void idleConnectionAdded() {
        connections.idleConnectionAdded();
    }

    void idleConnectionRemoved() {
        connections.idleConnectionRemoved();
    }

    private void connectionAccepted(Channel channel) {
        dispatcher.failOverdueRequests();
        ClientConnection connection = new ClientConnection(
                channel, eventLoop, dispatcher, exchangeFactory, this, listener.maxBacklogWaitMicros());
        connections.add(connection);
        statistics.clientConnectionAccepted();
        connections.evictIdleConnectionIfFull(clock.nowMicros());
        updateAccepting();
        channel.closeFuture().addListener(closed -> {
            connections.remove(connection);
            updateAccepting();
        });
        connection.addHandlers();
    }

    /**
     * Beyond the maximum, connections wait in the backlog, because upstream connections need descriptors too. During a
     * shutdown the maximum does not count: what waits there then is the last.
     */
    private void updateAccepting() {
        boolean belowMaximum = isShuttingDown() || !connections.isFull();
        listener.setAccepting(belowMaximum && limits.descriptorAvailable().getAsBoolean());
    }

    /**
     * Closes connections that hold a descriptor without use: without a request, with an incomplete one, or idle. Called
     * several times a second; also accepts connections again once upstream connections have released descriptors.
     */
    public void closeStalledConnections() {
        long nowMicros = clock.nowMicros();
        connections.closeStalled(nowMicros);
        connections.evictIdleConnectionIfFull(nowMicros);
        updateAccepting();
    }

    /** Serves until clients have stopped sending, and runs {@code onStopped} once all connections are closed. */
    public void shutDownGracefully(Runnable onStopped) {
        shutdown.start(onStopped);
    }
}
