package loadbalancer.proxy.lifecycle;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.decision.Endpoint;
import loadbalancer.decision.EndpointState;
import loadbalancer.proxy.configuration.SidecarConfiguration;
import loadbalancer.proxy.discovery.DiscoveryWatch;
import loadbalancer.proxy.discovery.WatchTimeouts;
import loadbalancer.proxy.eventloop.ClientBootstraps;
import loadbalancer.proxy.eventloop.MonotonicClock;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import loadbalancer.proxy.observability.SidecarLog;
import loadbalancer.proxy.protocol.EndpointList;
import loadbalancer.proxy.protocol.HeaderNames;

/**
 * Loads and links the code of the serving path before the sidecar reports readiness: a second sidecar in this process,
 * on an event loop of its own, serves a few requests between a stub client and a stub server. Code that has never run
 * takes ten times as long; met by full traffic, that makes endpoints look slow and most first requests late.
 */
final class StartupWarmUp {
    /**
     * A few of each class. More would only have code compiled earlier, and latency is no criterion for the end: on a
     * shared processor it may stay high.
     */
    private static final int MAX_REQUESTS = 12;
    /** Enough requests at once to keep the event loop busy, and few enough not to overload an endpoint. */
    private static final int CLIENT_CONNECTIONS = 3;

    private static final int ENDPOINTS = 6;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long MAX_DURATION_MILLIS = 1_500;

    private final SidecarConfiguration configuration;
    private final LoadBalancerFactory loadBalancerFactory;
    private final WarmUpClient client;

    StartupWarmUp(SidecarConfiguration configuration, LoadBalancerFactory loadBalancerFactory) {
        this.configuration = configuration;
        this.loadBalancerFactory = loadBalancerFactory;
        client = new WarmUpClient(configuration.settings().requestClasses(), MAX_REQUESTS);
    }

    /** Ends the warm-up early; may be called from any thread, also before {@link #run}. */
    void cancel() {
        client.cancel();
    }

    /** Blocks until the warm-up has ended and returns how many requests it served; a failure is logged, not thrown. */
    int run() {
        ReadTrackingEventLoop eventLoop = new ReadTrackingEventLoop(new MonotonicClock());
        try {
            serveRequests(eventLoop);
        } catch (Exception | Error e) {
            // Errors as well: without a warm-up the sidecar only starts slower.
            SidecarLog.error("warm_up_failed", e);
        } finally {
            eventLoop.shutDown();
        }
        return client.responses();
    }

    private void serveRequests(ReadTrackingEventLoop eventLoop) throws InterruptedException {
        EventLoop loop = eventLoop.eventLoop();
        InetSocketAddress anyPort =
                new InetSocketAddress(configuration.listenAddress().getAddress(), 0);
        InetSocketAddress serverAddress = startServer(loop, anyPort);
        Sidecar sidecar = new Sidecar(
                configuration.forWarmUp(anyPort, serverAddress, endpointsAt(serverAddress)),
                loadBalancerFactory,
                eventLoop,
                WatchTimeouts.DEFAULT,
                DiscoveryWatch.defaultBackoff());
        sidecar.start();
        Bootstrap bootstrap = ClientBootstraps.http(
                loop, CONNECT_TIMEOUT_MILLIS, HeaderNames.MAX_REQUEST_BODY_BYTES, client::newHandler);
        for (int i = 0; i < CLIENT_CONNECTIONS; i++) {
            bootstrap.connect(sidecar.listenAddress());
        }
        client.await(MAX_DURATION_MILLIS);
    }

    private static InetSocketAddress startServer(EventLoop loop, InetSocketAddress address)
            throws InterruptedException {
        return (InetSocketAddress) new ServerBootstrap()
                .group(loop)
                .channelFactory(NioServerSocketChannel::new)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(HeaderNames.MAX_REQUEST_BODY_BYTES),
                                        new WarmUpServerHandler());
                    }
                })
                .bind(address)
                .sync()
                .channel()
                .localAddress();
    }

    private static EndpointList endpointsAt(InetSocketAddress address) {
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            Endpoint endpoint = new Endpoint("warm-up-" + i, "", "", -1, 0, 1, EndpointState.READY);
            entries.add(new EndpointList.Entry(endpoint, address));
        }
        return new EndpointList(1, true, entries);
    }
}
