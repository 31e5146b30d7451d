package loadbalancer.proxy.lifecycle;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import loadbalancer.decision.LoadBalancer;
import loadbalancer.decision.LoadBalancerActions;
import loadbalancer.proxy.client.ConnectionLimits;
import loadbalancer.proxy.client.RequestDispatcher;
import loadbalancer.proxy.client.SidecarHttpServer;
import loadbalancer.proxy.configuration.SidecarConfiguration;
import loadbalancer.proxy.discovery.DiscoveryMode;
import loadbalancer.proxy.discovery.DiscoveryWatch;
import loadbalancer.proxy.discovery.EndpointStartTimes;
import loadbalancer.proxy.discovery.ExponentialBackoff;
import loadbalancer.proxy.discovery.WatchTimeouts;
import loadbalancer.proxy.eventloop.EventLoopMonitor;
import loadbalancer.proxy.eventloop.LoadBalancerExecutor;
import loadbalancer.proxy.eventloop.MonotonicClock;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import loadbalancer.proxy.gossip.GossipTransport;
import loadbalancer.proxy.memory.MemoryLimits;
import loadbalancer.proxy.memory.MessageMemory;
import loadbalancer.proxy.observability.SidecarLog;
import loadbalancer.proxy.observability.TrafficStatistics;
import loadbalancer.proxy.protocol.EndpointList;
import loadbalancer.proxy.upstream.UpstreamConnectionPool;
import loadbalancer.proxy.upstream.UpstreamTimeouts;
import loadbalancer.settings.LoadBalancerSettings;
import loadbalancer.settings.RequestClass;

/**
 * One sidecar: creates its components, starts them, applies a new configuration to them and stops them. A single event
 * loop owns all components. No method may be called on the event loop, because some methods wait for it. The
 * constructor, {@link #delayReadinessForWarmUp}, {@link #start} and {@link #listenAddress} must be called on one and
 * the same thread; the other methods may be called from any thread.
 */
public final class Sidecar {
    /**
     * Lower bound of the stall timeout, however short the latency objectives are. A working endpoint does not pause for
     * this long within a response.
     */
    private static final long MIN_STALL_TIMEOUT_MICROS = 10_000;

    private final LoadBalancerFactory loadBalancerFactory;
    private final ReadTrackingEventLoop eventLoop;
    private final MonotonicClock clock;
    private final EventLoop nettyEventLoop;
    private final DescriptorBudget descriptorBudget;
    private final TrafficStatistics statistics = new TrafficStatistics();
    private final MessageMemory messageMemory;
    private final LoadBalancerExecutor loadBalancerExecutor;
    private final UpstreamConnectionPool upstreamPool;
    private final RequestDispatcher dispatcher;
    private final EndpointStartTimes startTimes;
    private final EndpointList initialEndpoints;
    private final DiscoveryWatch discovery;
    /** Reaches 0 when the load balancer gets the first endpoint list. */
    private final CountDownLatch endpointListUsable = new CountDownLatch(1);

    private final GossipTransport gossip;
    private final SidecarHttpServer httpServer;
    private final MaintenanceTask maintenance;
    /** The current configuration. Replaced only on the event loop, but also read by other threads. */
    private volatile SidecarConfiguration configuration;

    /** Null before {@link #start} has returned. */
    private InetSocketAddress listenAddress;

    /** Creates a sidecar with its own event loop and the default timeouts. Opens no socket. */
    public Sidecar(SidecarConfiguration configuration, LoadBalancerFactory loadBalancerFactory) {
        this(
                configuration,
                loadBalancerFactory,
                new ReadTrackingEventLoop(new MonotonicClock()),
                WatchTimeouts.DEFAULT,
                DiscoveryWatch.defaultBackoff());
    }

    /** Creates a sidecar on {@code eventLoop} and takes ownership of the loop. Opens no socket. */
    public Sidecar(
            SidecarConfiguration configuration,
            LoadBalancerFactory loadBalancerFactory,
            ReadTrackingEventLoop eventLoop,
            WatchTimeouts watchTimeouts,
            ExponentialBackoff discoveryBackoff) {
        this.configuration = configuration;
        this.loadBalancerFactory = loadBalancerFactory;
        this.eventLoop = eventLoop;
        clock = eventLoop.clock();
        nettyEventLoop = eventLoop.nettyEventLoop();
        descriptorBudget = DescriptorBudget.of(configuration.descriptorLimit());
        messageMemory =
                new MessageMemory(MemoryLimits.ofThisProcess(configuration.memoryLimitBytes()), clock::nowMicros);
        EventLoopMonitor monitor = new EventLoopMonitor(clock);
        loadBalancerExecutor = new LoadBalancerExecutor(clock, monitor);
        upstreamPool = newUpstreamPool();
        dispatcher = new RequestDispatcher(
                nettyEventLoop,
                clock,
                loadBalancerExecutor,
                upstreamPool,
                settings().limits().maxAttempts(),
                statistics);
        startTimes = new EndpointStartTimes(clock::nowMicros, Sidecar::unixMicros);
        initialEndpoints = startTimes.toMonotonic(configuration.initialEndpoints());
        discovery = newDiscoveryWatch(watchTimeouts, discoveryBackoff);
        gossip = new GossipTransport(
                clock, loadBalancerExecutor, configuration.gossipPeers(), configuration.gossipBroadcastAddress());
        httpServer = newHttpServer();
        maintenance = new MaintenanceTask(
                eventLoop,
                monitor,
                statistics,
                messageMemory,
                new MaintenanceTask.Components(httpServer, dispatcher, upstreamPool, discovery));
    }

    private static long unixMicros() {
        return System.currentTimeMillis() * 1_000;
    }

    private UpstreamConnectionPool newUpstreamPool() {
        return new UpstreamConnectionPool(
                eventLoop,
                upstreamTimeouts(settings()),
                UpstreamConnectionPool.REUSE_DELAY_MICROS,
                () -> descriptorBudget.maxConnections() - openClientConnectionCount(),
                statistics,
                messageMemory);
    }

    private DiscoveryWatch newDiscoveryWatch(WatchTimeouts watchTimeouts, ExponentialBackoff backoff) {
        return new DiscoveryWatch(
                eventLoop,
                loadBalancerExecutor,
                startTimes,
                messageMemory,
                this::updateEndpoints,
                new DiscoveryWatch.Options(
                        configuration.discoveryAddress(), initialEndpoints, discoveryMode(settings()), watchTimeouts),
                backoff);
    }

    private void updateEndpoints(EndpointList list) {
        upstreamPool.updateEndpoints(list);
        endpointListUsable.countDown();
    }

    private static DiscoveryMode discoveryMode(LoadBalancerSettings settings) {
        return settings.polledDiscovery() ? DiscoveryMode.POLLED : DiscoveryMode.PUSHED;
    }

    private SidecarHttpServer newHttpServer() {
        return new SidecarHttpServer(
                eventLoop,
                dispatcher,
                settings().requestClasses(),
                () -> discovery.hasUsableList(),
                new ConnectionLimits(
                        descriptorBudget.maxClientConnections(),
                        descriptorBudget.maxIdleClientConnections(),
                        this::freeDescriptorCount,
                        this::hasDescriptorForClient),
                statistics,
                messageMemory);
    }

    /**
     * Returns the number of open client connections. The upstream pool gets a lambda that calls this method rather than
     * {@code httpServer::openConnectionCount}, because {@link #httpServer} is not yet set when the pool is created.
     */
    private int openClientConnectionCount() {
        return httpServer.openConnectionCount();
    }

    private int freeDescriptorCount() {
        return descriptorBudget.maxConnections() - openClientConnectionCount() - upstreamPool.openConnectionCount();
    }

    /**
     * Returns whether a client connection may be accepted. If no descriptor is free, closes an idle upstream connection
     * to free one.
     */
    private boolean hasDescriptorForClient() {
        return freeDescriptorCount() > 0 || upstreamPool.closeOldestIdleConnection();
    }

    private static UpstreamTimeouts upstreamTimeouts(LoadBalancerSettings settings) {
        return new UpstreamTimeouts(
                settings.limits().connectionIdleTimeoutMicros(),
                settings.limits().connectTimeoutMicros(),
                stallTimeoutMicros(settings));
    }

    /**
     * Returns a quarter of the shortest latency objective, which leaves enough time for another attempt, but at least
     * {@link #MIN_STALL_TIMEOUT_MICROS}.
     */
    private static long stallTimeoutMicros(LoadBalancerSettings settings) {
        long shortestObjectiveMicros = settings.requestClasses().stream()
                .mapToLong(RequestClass::latencyObjectiveMicros)
                .min()
                .orElse(0);
        return Math.max(MIN_STALL_TIMEOUT_MICROS, shortestObjectiveMicros / 4);
    }

    /**
     * Starts the load balancer and discovery, then opens the listening sockets. Clients are served once this method has
     * returned.
     *
     * @throws java.net.BindException (not declared) if a listen address can't be bound
     */
    public void start() throws InterruptedException {
        upstreamPool.updateEndpoints(initialEndpoints);
        nettyEventLoop.submit(this::startLoadBalancer).sync();
        nettyEventLoop.execute(discovery::start);
        if (configuration.gossipListenAddress() != null) {
            gossip.listen(nettyEventLoop, configuration.gossipListenAddress());
        }
        listenAddress = httpServer.listen(configuration.listenAddress());
        nettyEventLoop.execute(maintenance::start);
    }

    private void startLoadBalancer() {
        loadBalancerExecutor.start(
                this::newLoadBalancer,
                new SidecarActions(eventLoop, loadBalancerExecutor, dispatcher, upstreamPool, discovery, gossip));
    }

    private LoadBalancer newLoadBalancer(LoadBalancerActions actions) {
        return loadBalancerFactory.create(configuration, clock.nowMicros(), actions);
    }

    /**
     * Returns the number of client and upstream connections that are open or being opened. Blocks until the event loop
     * has counted them.
     */
    int openConnectionCount() throws InterruptedException {
        int[] open = new int[1];
        nettyEventLoop
                .submit(() -> open[0] = httpServer.openConnectionCount() + upstreamPool.openConnectionCount())
                .sync();
        return open[0];
    }

    /** Returns the current settings. */
    public LoadBalancerSettings settings() {
        return configuration.settings();
    }

    /** Returns the bound address that clients connect to, or null before {@link #start} has returned. */
    public InetSocketAddress listenAddress() {
        return listenAddress;
    }

    /**
     * Makes the sidecar report that it is not ready until {@link #warmUpCompleted}, although it serves requests. Until
     * then {@code onRequest} runs on the event loop for each valid request, before it is dispatched. Must be called
     * before {@link #start}.
     */
    public void delayReadinessForWarmUp(Runnable onRequest) {
        httpServer.delayReadinessForWarmUp(onRequest);
    }

    /**
     * Lets the sidecar report readiness as soon as it has an endpoint list that it may use. Blocks until the event loop
     * has applied the change.
     */
    void warmUpCompleted() throws InterruptedException {
        nettyEventLoop.submit(httpServer::warmUpCompleted).sync();
    }

    /** Blocks until the sidecar has an endpoint list that it may use. */
    void awaitUsableEndpointList() throws InterruptedException {
        endpointListUsable.await();
    }

    /**
     * Returns where the endpoint list in use comes from and how old it is, as keys and values for the log with a
     * leading space. Blocks until the event loop has answered.
     */
    String describeEndpointList() throws InterruptedException {
        return nettyEventLoop.submit(discovery::describeList).sync().getNow();
    }

    /**
     * Applies a validated configuration on the event loop: discovery address, settings, gossip peers and the broadcast
     * address for gossip. All other changes, such as those of the listen addresses, the descriptor limit and the seed,
     * take effect at the next start.
     */
    public void applyConfiguration(SidecarConfiguration reloaded) {
        nettyEventLoop.execute(() -> {
            discovery.changeAddress(reloaded.discoveryAddress());
            if (hasNewSettingsOrPeers(reloaded)) {
                configuration = reloaded;
                applySettings(reloaded);
                SidecarLog.info("configuration_applied " + reloaded.describeLimits());
            }
        });
    }

    private boolean hasNewSettingsOrPeers(SidecarConfiguration reloaded) {
        // Compares the flattened settings, because the first comparison of settings records would load a hundred
        // classes.
        return !reloaded.flattenedSettings().equals(configuration.flattenedSettings())
                || !reloaded.gossipPeers().equals(configuration.gossipPeers())
                || !Objects.equals(reloaded.gossipBroadcastAddress(), configuration.gossipBroadcastAddress());
    }

    private void applySettings(SidecarConfiguration reloaded) {
        LoadBalancerSettings settings = reloaded.settings();
        gossip.updatePeers(reloaded.gossipPeers(), reloaded.gossipBroadcastAddress());
        // The load balancer is updated first, because it must know a new request class before a request of that class
        // is accepted.
        loadBalancerExecutor.submit(
                "settings", loadBalancer -> loadBalancer.onSettings(clock.nowMicros(), settings), () -> {});
        discovery.changeMode(discoveryMode(settings));
        dispatcher.updateMaxAttempts(settings.limits().maxAttempts());
        upstreamPool.updateTimeouts(upstreamTimeouts(settings));
        httpServer.updateRequestClasses(settings.requestClasses());
    }

    /**
     * Starts the graceful shutdown. Runs {@code onStopped} on the event loop once all accepted requests are completed
     * and all client connections are closed.
     */
    void shutDownGracefully(Runnable onStopped) {
        nettyEventLoop.execute(() -> httpServer.shutDownGracefully(onStopped));
    }

    /** Ends the event loop and drops all requests and connections. Does not wait until the loop has ended. */
    public void shutDownNow() {
        nettyEventLoop.execute(discovery::stop);
        eventLoop.shutDown();
    }
}
