package loadbalancer.proxy.eventloop;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.util.function.Consumer;
import java.util.function.Function;
import loadbalancer.proxy.memory.ContentAccumulator;

/**
 * Creates Netty bootstraps for outgoing connections. Addresses must be resolved already, because the bootstraps do not
 * look up host names. Stateless.
 */
public final class ClientBootstraps {
    private static final int MAX_READS_PER_ITERATION = 16;

    private ClientBootstraps() {}

    /**
     * Creates a bootstrap for HTTP/1.1. Each connection gets a handler from {@code newHandler}, which receives
     * aggregated responses of at most {@code maxResponseBytes}. The argument of {@code newHandler} holds the content of
     * the response that the connection is receiving.
     */
    public static Bootstrap http(
            ReadTrackingEventLoop loop,
            int connectTimeoutMillis,
            int maxResponseBytes,
            Function<ContentAccumulator, ChannelHandler> newHandler) {
        return tcp(loop, connectTimeoutMillis, channel -> {
            ContentAccumulator body = new ContentAccumulator(maxResponseBytes);
            channel.pipeline()
                    .addLast(
                            new HttpClientCodec(),
                            body,
                            new HttpObjectAggregator(maxResponseBytes),
                            newHandler.apply(body));
        });
    }

    /** Creates a bootstrap for any protocol on TCP. {@code initializer} adds the handlers to each new channel. */
    public static Bootstrap tcp(ReadTrackingEventLoop loop, int connectTimeoutMillis, Consumer<Channel> initializer) {
        return new Bootstrap()
                .group(loop.nettyEventLoop())
                .channelFactory(NioSocketChannel::new)
                .disableResolver()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, loop.newReadBuffers(MAX_READS_PER_ITERATION, false))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        initializer.accept(channel);
                    }
                });
    }
}
