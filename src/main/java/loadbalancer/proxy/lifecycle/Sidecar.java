package loadbalancer.proxy.lifecycle;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import loadbalancer.decision.EndpointListType;
import loadbalancer.decision.LoadBalancer;
import loadbalancer.decision.LoadBalancerActions;
import loadbalancer.proxy.client.ConnectionLimits;
import loadbalancer.proxy.client.RequestDispatcher;
import loadbalancer.proxy.client.SidecarHttpServer;
import loadbalancer.proxy.configuration.SidecarConfiguration;
import loadbalancer.proxy.discovery.DiscoveryMode;
import loadbalancer.proxy.discovery.DiscoveryWatch;
import loadbalancer.proxy.discovery.ExponentialBackoff;
import loadbalancer.proxy.discovery.WatchTimeouts;
import loadbalancer.proxy.eventloop.EventLoopMonitor;
import loadbalancer.proxy.eventloop.LoadBalancerExecutor;
import loadbalancer.proxy.eventloop.MonotonicClock;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import loadbalancer.proxy.gossip.GossipTransport;
import loadbalancer.proxy.observability.SidecarLog;
import loadbalancer.proxy.observability.TrafficStatistics;
import loadbalancer.proxy.upstream.UpstreamConnectionPool;
import loadbalancer.proxy.upstream.UpstreamTimeouts;
import loadbalancer.settings.LoadBalancerSettings;
import loadbalancer.settings.RequestClass;

/**
 * One sidecar: creates its parts, starts them, applies a new configuration and stops them. A single event loop owns all
 * parts. The methods may be called from any thread except the event loop's; they submit their work to the loop.
 */
public final class Sidecar {
    /**
     * The stall timeout is never shorter, whatever the latency objectives are: an endpoint that works does not pause
     * for this long within a response.
     */
    private static final long MIN_STALL_TIMEOUT_MICROS = 10_000;

    private final LoadBalancerFactory loadBalancerFactory;
    private final ReadTrackingEventLoop eventLoop;
    private final MonotonicClock clock;
    private final EventLoop loop;
    private final DescriptorBudget descriptors;
    private final TrafficStatistics statistics = new TrafficStatistics();
    private final LoadBalancerExecutor loadBalancerExecutor;
    private final UpstreamConnectionPool upstreams;
    private final RequestDispatcher requests;
    private final DiscoveryWatch discovery;
    private final GossipTransport gossip;
    private final SidecarHttpServer clients;
    private final MaintenanceTask maintenance;
    /** Replaced on the event loop only, but read by other threads too. */
    private volatile SidecarConfiguration configuration;

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

    /** Creates a sidecar on {@code eventLoop}, which it owns from then on. Opens no socket. */
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
        loop = eventLoop.nettyEventLoop();
        descriptors = DescriptorBudget.of(configuration.descriptorLimit());
        EventLoopMonitor monitor = new EventLoopMonitor(clock);
        loadBalancerExecutor = new LoadBalancerExecutor(clock, monitor);
        upstreams = newUpstreamPool();
        requests = new RequestDispatcher(
                loop,
                clock,
                loadBalancerExecutor,
                upstreams,
                settings().limits().maxAttempts(),
                statistics);
        discovery = newDiscoveryWatch(watchTimeouts, discoveryBackoff);
        gossip = new GossipTransport(
                clock, loadBalancerExecutor, configuration.gossipPeers(), configuration.gossipBroadcastAddress());
        clients = newHttpServer();
        maintenance = new MaintenanceTask(eventLoop, monitor, statistics, clients, requests, upstreams);
    }

    private UpstreamConnectionPool newUpstreamPool() {
        return new UpstreamConnectionPool(
                eventLoop,
                upstreamTimeouts(settings()),
                UpstreamConnectionPool.REUSE_DELAY_MICROS,
                () -> descriptors.maxConnections() - openClientConnections(),
                statistics);
    }

    private DiscoveryWatch newDiscoveryWatch(WatchTimeouts watchTimeouts, ExponentialBackoff backoff) {
        return new DiscoveryWatch(
                loop,
                clock,
                loadBalancerExecutor,
                upstreams::updateEndpoints,
                new DiscoveryWatch.Options(
                        configuration.discoveryAddress(),
                        configuration.initialEndpoints().generation(),
                        settings().polledDiscovery() ? DiscoveryMode.POLLED : DiscoveryMode.PUSHED,
                        watchTimeouts),
                backoff);
    }

    private SidecarHttpServer newHttpServer() {
        return new SidecarHttpServer(
                eventLoop,
                requests,
                settings().requestClasses(),
                () -> discovery.hasSynced() && upstreams.hasReadyEndpoint(),
                new ConnectionLimits(
                        descriptors.maxClientConnections(),
                        descriptors.maxIdleClientConnections(),
                        this::hasDescriptorForClient),
                statistics);
    }

    /**
     * Used instead of {@code clients::openConnections}, because {@link #clients} is not set yet when the pool is
     * created.
     */
    private int openClientConnections() {
        return clients.openConnections();
    }

    /**
     * Returns whether a client's connection may be accepted. If no descriptor is free, closes an idle connection to an
     * endpoint to free one.
     */
    private boolean hasDescriptorForClient() {
        return openClientConnections() + upstreams.openConnections() < descriptors.maxConnections()
                || upstreams.closeOldestIdleConnection();
    }

    private static UpstreamTimeouts upstreamTimeouts(LoadBalancerSettings settings) {
        return new UpstreamTimeouts(
                settings.limits().connectionIdleTimeoutMicros(),
                settings.limits().connectTimeoutMicros(),
                stallTimeoutMicros(settings));
    }

    /** A quarter of the shortest latency objective, which leaves enough time for another attempt. */
    private static long stallTimeoutMicros(LoadBalancerSettings settings) {
        long shortestObjectiveMicros = settings.requestClasses().stream()
                .mapToLong(RequestClass::latencyObjectiveMicros)
                .min()
                .orElse(0);
        return Math.max(MIN_STALL_TIMEOUT_MICROS, shortestObjectiveMicros / 4);
    }

    /**
     * Starts the load balancer and discovery, then opens the listeners. Clients are served once this returns.
     *
     * @throws java.net.BindException undeclared, if an address can't be listened on
     */
    public void start() throws InterruptedException {
        upstreams.updateEndpoints(configuration.initialEndpoints());
        loop.submit(this::startLoadBalancer).sync();
        loop.execute(discovery::start);
        if (configuration.gossipListenAddress() != null) {
            gossip.listen(loop, configuration.gossipListenAddress());
        }
        listenAddress = clients.listen(configuration.listenAddress());
        loop.execute(maintenance::start);
    }

    private void startLoadBalancer() {
        loadBalancerExecutor.start(
                this::newLoadBalancer,
                new SidecarActions(eventLoop, loadBalancerExecutor, requests, upstreams, discovery, gossip));
    }

    private LoadBalancer newLoadBalancer(LoadBalancerActions actions) {
        LoadBalancer created = loadBalancerFactory.create(configuration, clock.nowMicros(), actions);
        created.onEndpointList(
                clock.nowMicros(),
                EndpointListType.CACHED,
                configuration.initialEndpoints().endpoints());
        return created;
    }

    /**
     * How many connections of clients and to endpoints are open or being opened. Blocks until the event loop answers.
     */
    int openConnections() throws InterruptedException {
        int[] open = new int[1];
        loop.submit(() -> open[0] = clients.openConnections() + upstreams.openConnections())
                .sync();
        return open[0];
    }

    /** The settings in force. */
    public LoadBalancerSettings settings() {
        return configuration.settings();
    }

    /** Where clients connect, with the port that was bound; null before {@link #start} has returned. */
    public InetSocketAddress listenAddress() {
        return listenAddress;
    }

    /**
     * Makes the sidecar serve without reporting readiness until {@link #warmUpCompleted}. {@code onRequest} runs on the
     * event loop for each request that is accepted until then. Must be called before {@link #start}.
     */
    public void holdReadinessForWarmUp(Runnable onRequest) {
        clients.holdReadinessForWarmUp(onRequest);
    }

    /**
     * Lets the sidecar report readiness, if discovery has synced and an endpoint is ready. Blocks until that is in
     * effect.
     */
    void warmUpCompleted() throws InterruptedException {
        loop.submit(clients::warmUpCompleted).sync();
    }

    /**
     * Applies a validated configuration on the event loop: discovery address, settings and gossip peers. The listen
     * addresses, the descriptor limit and the seed change only with the next start.
     */
    public void applyConfiguration(SidecarConfiguration reloaded) {
        loop.execute(() -> {
            discovery.moveTo(reloaded.discoveryAddress());
            if (hasNewSettingsOrPeers(reloaded)) {
                configuration = reloaded;
                applySettings(reloaded);
                SidecarLog.info("configuration_applied " + reloaded.describeLimits());
            }
        });
    }

    private boolean hasNewSettingsOrPeers(SidecarConfiguration reloaded) {
        // Compares the text, because the first comparison of the settings records would load a hundred classes.
        return !reloaded.settingsText().equals(configuration.settingsText())
                || !reloaded.gossipPeers().equals(configuration.gossipPeers());
    }

    private void applySettings(SidecarConfiguration reloaded) {
        LoadBalancerSettings settings = reloaded.settings();
        gossip.updatePeers(reloaded.gossipPeers(), reloaded.gossipBroadcastAddress());
        // The load balancer comes first, as it must know a new class before a request of that class is accepted.
        loadBalancerExecutor.submit(
                "settings", loadBalancer -> loadBalancer.onSettings(clock.nowMicros(), settings), () -> {});
        requests.updateMaxAttempts(settings.limits().maxAttempts());
        upstreams.updateTimeouts(upstreamTimeouts(settings));
        clients.updateRequestClasses(settings.requestClasses());
    }

    /**
     * Starts the graceful shutdown. Runs {@code onStopped} on the event loop once all accepted requests are answered
     * and all connections of clients are closed.
     */
    void shutDownGracefully(Runnable onStopped) {
        loop.execute(() -> clients.shutDownGracefully(onStopped));
    }

    /** Ends the event loop at once; all requests and connections are dropped. */
    public void shutDownNow() {
        loop.execute(discovery::stop);
        eventLoop.shutDown();
    }
}
