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
import loadbalancer.proxy.protocol.ProtocolConstants;

/**
 * Loads and links the classes that serve requests before the sidecar reports readiness. A second sidecar in this
 * process, with its own event loop, serves a few requests between a stub client and a stub server. Code that runs for
 * the first time takes ten times as long as later; under full traffic this would make endpoints look slow and most of
 * the first requests late.
 */
final class StartupWarmUp {
    /**
     * The warm-up ends after this number of responses, a few for each request class. More requests would only cause the
     * code to be compiled earlier. The number is fixed instead of depending on the latency, because the latency may
     * stay high on a shared processor.
     */
    private static final int MAX_RESPONSES = 12;
    /** Enough concurrent requests to keep the event loop busy, but too few to overload an endpoint. */
    private static final int CLIENT_CONNECTIONS = 3;

    private static final int ENDPOINT_COUNT = 6;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long MAX_DURATION_MILLIS = 1_500;

    private final SidecarConfiguration configuration;
    private final LoadBalancerFactory loadBalancerFactory;
    private final WarmUpClient client;

    StartupWarmUp(SidecarConfiguration configuration, LoadBalancerFactory loadBalancerFactory) {
        this.configuration = configuration;
        this.loadBalancerFactory = loadBalancerFactory;
        client = new WarmUpClient(configuration.settings().requestClasses(), MAX_RESPONSES);
    }

    /** Ends the warm-up early. May be called from any thread, also before {@link #run}. */
    void cancel() {
        client.cancel();
    }

    /**
     * Runs the warm-up, blocks until it has ended and returns the number of responses that were received. A failure or
     * an interruption of the calling thread is logged, not thrown.
     */
    int run() {
        ReadTrackingEventLoop eventLoop = new ReadTrackingEventLoop(new MonotonicClock());
        try {
            serveRequests(eventLoop);
        } catch (Exception | Error e) {
            // Errors are caught too, because without a warm-up the sidecar still works and is only slower at first.
            SidecarLog.error("warm_up_failed", e);
        } finally {
            eventLoop.shutDown();
        }
        return client.responseCount();
    }

    private void serveRequests(ReadTrackingEventLoop eventLoop) throws InterruptedException {
        EventLoop nettyEventLoop = eventLoop.nettyEventLoop();
        InetSocketAddress anyPort =
                new InetSocketAddress(configuration.listenAddress().getAddress(), 0);
        InetSocketAddress serverAddress = startServer(nettyEventLoop, anyPort);
        Sidecar sidecar = new Sidecar(
                configuration.forWarmUp(anyPort, serverAddress, endpointsAt(serverAddress)),
                loadBalancerFactory,
                eventLoop,
                WatchTimeouts.DEFAULT,
                DiscoveryWatch.defaultBackoff());
        try {
            sidecar.start();
            exchangeRequests(eventLoop, sidecar.listenAddress());
        } finally {
            sidecar.shutDownNow();
        }
    }

    private void exchangeRequests(ReadTrackingEventLoop eventLoop, InetSocketAddress sidecarAddress)
            throws InterruptedException {
        Bootstrap bootstrap = ClientBootstraps.http(
                eventLoop,
                CONNECT_TIMEOUT_MILLIS,
                ProtocolConstants.MAX_REQUEST_BODY_BYTES,
                body -> client.newHandler());
        for (int i = 0; i < CLIENT_CONNECTIONS; i++) {
            bootstrap.connect(sidecarAddress);
        }
        client.await(MAX_DURATION_MILLIS);
    }

    private static InetSocketAddress startServer(EventLoop nettyEventLoop, InetSocketAddress address)
            throws InterruptedException {
        return (InetSocketAddress) new ServerBootstrap()
                .group(nettyEventLoop)
                .channelFactory(NioServerSocketChannel::new)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(ProtocolConstants.MAX_REQUEST_BODY_BYTES),
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
        for (int i = 0; i < ENDPOINT_COUNT; i++) {
            Endpoint endpoint = new Endpoint("warm-up-" + i, "", "", Endpoint.NO_CELL, 0, 1, EndpointState.READY);
            entries.add(new EndpointList.Entry(endpoint, address));
        }
        return new EndpointList(1, true, entries);
    }
}
