package loadbalancer.proxy.lifecycle;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
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
import loadbalancer.settings.Idempotency;
import loadbalancer.settings.RequestClass;

/**
 * Before it says that it is ready, a sidecar serves some requests of its own: a second sidecar in this program, its
 * only upstream and its only client here too. Code that has never run takes ten times as long; met by full traffic,
 * that makes every upstream look slow and most first requests late. Requests that come all the same end it at once.
 */
final class StartupWarmUp {
    /**
     * A few of each class load and link what a request needs. Further ones only have code compiled earlier: forty
     * requests after it are answered as quickly with 12 as with up to 400 before them. Not to be ended by how quick
     * they are: on a processor that many share that is never, and the start of all becomes longer for it.
     */
    private static final int REQUESTS = 12;
    /** Clients that send at once: as many as keep the loop busy, and few enough to leave no upstream overrun. */
    private static final int CLIENTS = 3;

    private static final int UPSTREAMS = 6;
    private static final long LONGEST_MS = 1_500;

    private final SidecarConfiguration config;
    private final Sidecar.Module module;
    private final CountDownLatch over = new CountDownLatch(1);
    private int begun;
    private volatile int answered;

    StartupWarmUp(SidecarConfiguration config, Sidecar.Module module) {
        this.config = config;
        this.module = module;
    }

    /** May be called from any thread, also before the play has begun. */
    void cut() {
        over.countDown();
    }

    /**
     * Returns how many requests were answered when that was enough, or at once where it can't be: without it a sidecar
     * only starts slower.
     */
    int play() {
        ReadTrackingEventLoop reads = new ReadTrackingEventLoop(new MonotonicClock());
        try {
            EventLoop loop = reads.eventLoop();
            InetSocketAddress here = new InetSocketAddress(config.listen().getAddress(), 0);
            InetSocketAddress stage = (InetSocketAddress) new ServerBootstrap()
                    .group(loop)
                    .channelFactory(NioServerSocketChannel::new)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline()
                                    .addLast(
                                            new HttpServerCodec(),
                                            new HttpObjectAggregator(HeaderNames.MAX_REQUEST_BODY_BYTES),
                                            new Stage());
                        }
                    })
                    .bind(here)
                    .sync()
                    .channel()
                    .localAddress();
            Sidecar second = new Sidecar(
                    config.forWarmUp(here, stage, list(stage)),
                    module,
                    reads,
                    WatchTimeouts.DEFAULT,
                    DiscoveryWatch.defaultBackoff());
            second.start();
            Bootstrap clients = ClientBootstraps.http(loop, 1_000, HeaderNames.MAX_REQUEST_BODY_BYTES, Client::new);
            for (int i = 0; i < CLIENTS; i++) {
                clients.connect(second.listening());
            }
            over.await(LONGEST_MS, TimeUnit.MILLISECONDS);
        } catch (Exception | Error e) {
            SidecarLog.error("no rehearsal", e);
        } finally {
            reads.shutDown();
        }
        return answered;
    }

    private static EndpointList list(InetSocketAddress stage) {
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            entries.add(
                    new EndpointList.Entry(new Endpoint("stage-" + i, "", "", -1, 0, 1, EndpointState.READY), stage));
        }
        return new EndpointList(1, true, entries);
    }

    /** Upstream and discovery in one. A watch that may wait is left waiting, as where nothing changes. */
    private static final class Stage extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            boolean list = request.uri().startsWith("/registry/");
            if (list && !request.uri().endsWith("wait=0")) {
                return;
            }
            String load =
                    list ? "{\"generation\":1,\"reset\":false,\"instances\":[]}" : "TEXT inflight=0, queue=0, util=0.1";
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.OK,
                    Unpooled.copiedBuffer(load, StandardCharsets.US_ASCII));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, load.length())
                    .set(HeaderNames.LOAD_REPORT, load);
            ctx.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private final class Client extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ask(ctx);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (++answered >= REQUESTS) {
                over.countDown();
            } else {
                ask(ctx);
            }
        }

        private void ask(ChannelHandlerContext ctx) {
            List<RequestClass> classes = config.settings().requestClasses();
            RequestClass c = classes.get(begun++ % classes.size());
            FullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    c.idempotency() == Idempotency.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST,
                    "/api");
            request.headers()
                    .set(HttpHeaderNames.HOST, "api.internal")
                    .set(HeaderNames.REQUEST_ID, "rehearsal-" + begun)
                    .set(HeaderNames.REQUEST_CLASS, c.name())
                    .set(HeaderNames.REMAINING_MILLIS, Math.max(1, c.deadlineMicros() / 1000))
                    .set(HttpHeaderNames.COOKIE, HeaderNames.ROUTING_KEY_COOKIE + "=" + begun)
                    .set(HttpHeaderNames.CONTENT_LENGTH, 0);
            if (c.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY) {
                request.headers().set(HeaderNames.IDEMPOTENCY_KEY, "rehearsal-" + begun);
            }
            ctx.writeAndFlush(request);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
