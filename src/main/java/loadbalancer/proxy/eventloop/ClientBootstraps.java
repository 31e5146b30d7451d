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

/** Bootstraps of outgoing connections on an event loop. Addresses must be resolved: there is no name service. */
public final class ClientBootstraps {
    private ClientBootstraps() {}

    /** For HTTP/1.1; each connection gets a new handler, which receives whole responses of bounded size. */
    public static Bootstrap http(
            EventLoop loop, int connectTimeoutMillis, int maxResponseBytes, Supplier<ChannelHandler> newHandler) {
        return tcp(loop, connectTimeoutMillis, channel -> channel.pipeline()
                .addLast(new HttpClientCodec(), new HttpObjectAggregator(maxResponseBytes), newHandler.get()));
    }

    /** For any protocol; {@code initializer} adds the handlers to each new channel. */
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
