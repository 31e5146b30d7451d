package loadbalancer.proxy.lifecycle;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.decision.EndpointListType;
import loadbalancer.decision.LoadBalancer;
import loadbalancer.decision.LoadBalancerActions;
import loadbalancer.decision.LoadBalancingPolicy;
import loadbalancer.proxy.client.ClientServer;
import loadbalancer.proxy.client.RequestDispatcher;
import loadbalancer.proxy.configuration.ConfigurationException;
import loadbalancer.proxy.configuration.SidecarConfiguration;
import loadbalancer.proxy.discovery.DiscoveryMode;
import loadbalancer.proxy.discovery.DiscoveryWatch;
import loadbalancer.proxy.discovery.ExponentialBackoff;
import loadbalancer.proxy.discovery.WatchTimeouts;
import loadbalancer.proxy.eventloop.EventLoopMonitor;
import loadbalancer.proxy.eventloop.FaultBarrier;
import loadbalancer.proxy.eventloop.LoadBalancerExecutor;
import loadbalancer.proxy.eventloop.MonotonicClock;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import loadbalancer.proxy.gossip.GossipTransport;
import loadbalancer.proxy.observability.SidecarLog;
import loadbalancer.proxy.observability.StartupTimer;
import loadbalancer.proxy.observability.TrafficStatistics;
import loadbalancer.proxy.upstream.UpstreamCall;
import loadbalancer.proxy.upstream.UpstreamConnectionPool;
import loadbalancer.proxy.upstream.UpstreamTimeouts;
import loadbalancer.settings.LoadBalancerSettings;
import loadbalancer.settings.RequestClass;

/** One sidecar: starts its parts on one event loop, which owns them all, and ends them in good order. */
public final class Sidecar {
    /** Descriptors for the program itself: its files, its listeners and its selector. */
    private static final int OWN_DESCRIPTORS = 48;
    /** An answer to a probe that takes longer tells nothing of now. */
    private static final long PROBE_US = 50_000;

    /** Two parts of one answer are never so far apart. */
    private static final long STALL_LEAST_US = 10_000;
    /** How late the loop is and what connections have been idle for too long is looked at so often. */
    private static final long TICK_MS = 100;
    /** A line of totals in the log each 5 s: often enough to tell a bad stretch from the good ones around it. */
    private static final int TICKS = 50;

    private volatile SidecarConfiguration config;
    private final Module module;
    private final ReadTrackingEventLoop reads;
    private final MonotonicClock clock;
    private final EventLoop loop;
    private final EventLoopMonitor monitor;
    private final LoadBalancerExecutor decisions;
    private final TrafficStatistics totals = new TrafficStatistics();
    private final UpstreamConnectionPool upstreams;
    private final RequestDispatcher requests;
    private final DiscoveryWatch discovery;
    private final GossipTransport peers;
    private final ClientServer clients;
    private InetSocketAddress listening;
    private long tickAtUs;
    private long ticks;

    /** Makes the module that decides; its actions may be used from then on. */
    public interface Module {
        LoadBalancer create(SidecarConfiguration config, long now, LoadBalancerActions actions);
    }

    public Sidecar(SidecarConfiguration config, Module module) {
        this(
                config,
                module,
                new ReadTrackingEventLoop(new MonotonicClock()),
                WatchTimeouts.DEFAULT,
                DiscoveryWatch.defaultBackoff());
    }

    /** {@code reads} is the loop that owns all of its parts. */
    public Sidecar(
            SidecarConfiguration config,
            Module module,
            ReadTrackingEventLoop reads,
            WatchTimeouts patience,
            ExponentialBackoff backoff) {
        this.config = config;
        this.module = module;
        this.reads = reads;
        clock = reads.clock();
        loop = reads.eventLoop();
        monitor = new EventLoopMonitor(clock);
        decisions = new LoadBalancerExecutor(clock, monitor);
        LoadBalancerSettings settings = config.settings();
        int most = Math.max(32, config.sockets() - OWN_DESCRIPTORS);
        // Clients may hold a third of all for their requests, and others come and say nothing. What they leave is for
        // upstreams, whose idle connections give way: too few of them, and most requests begin with a handshake.
        int fromClients = most * 5 / 8;
        // A quarter of that third for connections between requests: the rest is for requests in progress.
        int spare = config.sockets() / 12;
        upstreams = new UpstreamConnectionPool(
                reads,
                upstreamTimeouts(settings),
                UpstreamConnectionPool.REUSE_DELAY_MICROS,
                () -> most - openFromClients(),
                totals);
        requests = new RequestDispatcher(
                loop, clock, decisions, upstreams, settings.limits().maxAttempts(), totals);
        discovery = new DiscoveryWatch(
                loop,
                clock,
                decisions,
                upstreams::updateEndpoints,
                new DiscoveryWatch.Options(
                        config.discovery(),
                        config.known().generation(),
                        settings.polledDiscovery() ? DiscoveryMode.POLLED : DiscoveryMode.PUSHED,
                        patience),
                backoff);
        peers = new GossipTransport(clock, decisions, config.peers(), config.peersAll());
        clients = new ClientServer(
                reads,
                requests,
                settings.requestClasses(),
                () -> discovery.hasSynced() && upstreams.hasReadyEndpoint(),
                fromClients,
                () -> openFromClients() + upstreams.openConnections() < most || upstreams.closeOldestIdleConnection(),
                spare,
                totals);
    }

    private int openFromClients() {
        return clients.openConnections();
    }

    private static UpstreamTimeouts upstreamTimeouts(LoadBalancerSettings settings) {
        return new UpstreamTimeouts(
                settings.limits().connectionIdleTimeoutMicros(),
                settings.limits().connectTimeoutMicros(),
                stallUs(settings));
    }

    /** A quarter of the time within which an answer is wanted leaves enough of it for another attempt. */
    private static long stallUs(LoadBalancerSettings settings) {
        long aim = settings.requestClasses().stream()
                .mapToLong(RequestClass::latencyObjectiveMicros)
                .min()
                .orElse(0);
        return Math.max(STALL_LEAST_US, aim / 4);
    }

    /**
     * Runs one sidecar until it is asked to end; only a start that fails returns, with the exit code of the process.
     */
    public static int serve(Map<String, String> environment) throws InterruptedException {
        int status = 1;
        try {
            status = start(environment);
        } catch (RuntimeException | Error e) {
            // Its event loop would go on without ever being ready.
            SidecarLog.error("can't start", e);
        }
        SidecarLog.flush();
        return status;
    }

    private static int start(Map<String, String> environment) throws InterruptedException {
        StartupTimer phases = new StartupTimer();
        NettyEnvironment.prepare();
        ConfigurationReloader reload = new ConfigurationReloader(environment);
        SidecarConfiguration config;
        try {
            config = SidecarConfiguration.read(environment);
        } catch (ConfigurationException e) {
            SidecarLog.info(e.getMessage());
            return 2;
        }
        phases.phaseCompleted("settings");
        Module module = (c, now, actions) -> new LoadBalancingPolicy(c.settings(), c.seed(), now, actions);
        Sidecar sidecar = new Sidecar(config, module);
        StartupWarmUp rehearsal = new StartupWarmUp(config, module);
        sidecar.notReadyBefore(rehearsal::cut);
        try {
            sidecar.start();
        } catch (Exception e) {
            SidecarLog.info("can't start: " + e);
            return 1;
        }
        CountDownLatch empty = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            sidecar.stop(empty::countDown);
            try {
                empty.await();
                SidecarLog.flush();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            // A stop that was asked for and went well is no failure, whatever signal asked.
            Runtime.getRuntime().halt(0);
        }));
        SidecarLog.info(config.name() + " serves on " + sidecar.listening() + ", " + config.describeLimits());
        reload.serving(sidecar);
        phases.phaseCompleted("sockets and module");
        int requests = rehearsal.play();
        sidecar.rehearsed();
        phases.phaseCompleted("a rehearsal of " + requests + " requests");
        // Where a start takes long, one of these tells by what.
        SidecarLog.info("ready after this start, in ms: " + phases);
        new CountDownLatch(1).await();
        return 0;
    }

    public void start() throws InterruptedException {
        upstreams.updateEndpoints(config.known());
        loop.submit(() -> decisions.start(
                        actions -> {
                            LoadBalancer made = module.create(config, clock.nowMicros(), actions);
                            made.onEndpointList(
                                    clock.nowMicros(),
                                    EndpointListType.CACHED,
                                    config.known().endpoints());
                            return made;
                        },
                        new DecisionExecutor()))
                .sync();
        loop.execute(discovery::start);
        if (config.peerListen() != null) {
            peers.listen(loop, config.peerListen());
        }
        listening = clients.listen(config.listen());
        loop.execute(() -> {
            monitor.start();
            tickAtUs = clock.nowMicros();
            loop.scheduleWithFixedDelay(
                    () -> FaultBarrier.run("a tick", this::tick), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        });
    }

    private void tick() {
        long now = clock.nowMicros();
        long lagUs = now - tickAtUs - TICK_MS * 1000;
        totals.eventLoopLag(lagUs);
        reads.recordTick(lagUs);
        String late = monitor.tick(lagUs);
        if (late != null) {
            SidecarLog.info(late);
        }
        clients.closeStalledConnections();
        monitor.taskFinished("the sweep of clients' connections", now);
        if (++ticks % TICKS == 0) {
            logTotals();
        }
        tickAtUs = clock.nowMicros();
    }

    private void logTotals() {
        long begunUs = clock.nowMicros();
        String line = totals.summary(requests.openRequests(), clients.openConnections(), upstreams.openConnections());
        if (line != null) {
            SidecarLog.info(line);
            monitor.resetBaseline();
        }
        monitor.taskFinished("the line of totals", begunUs);
    }

    /** How many connections of clients and to upstreams are open or coming up. */
    int connections() throws InterruptedException {
        int[] open = new int[1];
        loop.submit(() -> open[0] = clients.openConnections() + upstreams.openConnections())
                .sync();
        return open[0];
    }

    /** Those in force; read by the thread of a signal. */
    public LoadBalancerSettings settings() {
        return config.settings();
    }

    public InetSocketAddress listening() {
        return listening;
    }

    /** Before {@link #start}: it serves, but says that it is ready only once it is {@link #rehearsed}. */
    public void notReadyBefore(Runnable cut) {
        clients.holdReadinessForWarmUp(cut);
    }

    /** Returns once it says so: a caller may believe it then. */
    void rehearsed() throws InterruptedException {
        loop.submit(clients::warmUpCompleted).sync();
    }

    /**
     * A new configuration, checked whole, holds from now on: discovery, settings and peers. What is bound at the start,
     * the addresses to listen on and the seed, stays.
     */
    public void reconfigure(SidecarConfiguration fresh) {
        loop.execute(() -> {
            discovery.moveTo(fresh.discovery());
            // By their words: the first comparison of records loads a hundred classes, on a loop that others wait for.
            if (!fresh.words().equals(config.words()) || !fresh.peers().equals(config.peers())) {
                config = fresh;
                take(fresh);
                SidecarLog.info("new settings are in force: " + fresh.describeLimits());
            }
        });
    }

    private void take(SidecarConfiguration fresh) {
        LoadBalancerSettings settings = fresh.settings();
        peers.updatePeers(fresh.peers(), fresh.peersAll());
        // The module first: no request of a new class may come to one that does not know it.
        decisions.submit("new settings", m -> m.onSettings(clock.nowMicros(), settings), () -> {});
        requests.updateMaxAttempts(settings.limits().maxAttempts());
        upstreams.updateTimeouts(upstreamTimeouts(settings));
        clients.updateRequestClasses(settings.requestClasses());
    }

    /** {@code stopped} runs when all that was taken has been answered and all connections are closed. */
    void stop(Runnable stopped) {
        loop.execute(() -> clients.shutDownGracefully(stopped));
    }

    /** Ends at once, whatever is held. */
    public void end() {
        loop.execute(discovery::stop);
        reads.shutDown();
    }

    /** Carries out what the module decides. */
    private final class DecisionExecutor implements LoadBalancerActions {
        @Override
        public void sendAttempt(String request, String upstream, long untilUs) {
            requests.sendAttempt(request, upstream, untilUs);
        }

        @Override
        public void reject(String request, long retryAfterUs) {
            requests.reject(request, retryAfterUs);
        }

        @Override
        public void fail(String request) {
            requests.fail(request);
        }

        @Override
        public void cancelAttempt(String request, int attempt) {
            requests.cancelAttempt(request, attempt);
        }

        @Override
        public void checkHealth(String upstream) {
            upstreams.startCall(UpstreamCall.healthCheck(
                    upstream,
                    clock.nowMicros() + PROBE_US,
                    left -> probe(),
                    (call, outcome, report, body) -> decisions.submit(
                            "a probe",
                            m -> m.onHealthCheck(
                                    clock.nowMicros(),
                                    upstream,
                                    outcome,
                                    clock.nowMicros() - call.sentMicros(),
                                    report),
                            () -> {})));
        }

        private static FullHttpRequest probe() {
            return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/stats");
        }

        @Override
        public void pollEndpoints() {
            discovery.poll();
        }

        @Override
        public void sendGossip(int peer, byte[] message) {
            peers.send(peer, message);
        }

        @Override
        public void closeIdleConnections(String upstream) {
            upstreams.closeIdleConnections(upstream);
        }

        @Override
        public void startTimer(String mark, long delayUs) {
            loop.schedule(
                    () -> decisions.submit("a timer", m -> m.onTimer(clock.nowMicros(), mark), requests::failHeld),
                    delayUs,
                    TimeUnit.MICROSECONDS);
        }

        @Override
        public void log(String text) {
            SidecarLog.info(text);
        }
    }
}
