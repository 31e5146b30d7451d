package loadbalancer.proxy.eventloop;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Creates Netty bootstraps for outgoing connections. Addresses must be resolved already, because the bootstraps do not
 * look up host names. Stateless.
 */
public final class ClientBootstraps {
    private ClientBootstraps() {}

    /**
     * Creates a bootstrap for HTTP/1.1. Each connection gets a handler from {@code newHandler}, which receives
     * aggregated responses of at most {@code maxResponseBytes}.
     */
    public static Bootstrap http(
            EventLoop loop, int connectTimeoutMillis, int maxResponseBytes, Supplier<ChannelHandler> newHandler) {
        return tcp(loop, connectTimeoutMillis, channel -> channel.pipeline()
                .addLast(new HttpClientCodec(), new HttpObjectAggregator(maxResponseBytes), newHandler.get()));
    }

    /** Creates a bootstrap for any protocol on TCP. {@code initializer} adds the handlers to each new channel. */
    public static Bootstrap tcp(EventLoop loop, int connectTimeoutMillis, Consumer<Channel> initializer) {
        return new Bootstrap()
                .group(loop)
                .channelFactory(NioSocketChannel::new)
                .disableResolver()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        initializer.accept(channel);
                    }
                });
    }
}
