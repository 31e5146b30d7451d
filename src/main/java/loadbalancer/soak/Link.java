package loadbalancer.soak;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The network path from one sidecar to one stand-in: a listener of its own, whose connections can be delayed, silenced,
 * reset or refused. Confined to the event loop of the run, except the constructor.
 */
final class Link {
    private final EventLoop loop;
    private final Consumer<SocketChannel> addHandlers;
    private final Set<LinkHandler> connections = new LinkedHashSet<>();
    private final int port;
    private Channel listener;
    private boolean silent;
    private long delayMicros;

    /** Opens a listener on an ephemeral loopback port. Blocks, so it must not be called on the event loop. */
    Link(EventLoop loop, RunClock clock, Consumer<SocketChannel> addHandlers) throws InterruptedException {
        this.loop = loop;
        this.addHandlers = channel -> {
            channel.pipeline().addLast(new LinkHandler(this, clock));
            addHandlers.accept(channel);
        };
        listener = bind(0).sync().channel();
        port = ((InetSocketAddress) listener.localAddress()).getPort();
    }

    private ChannelFuture bind(int localPort) {
        return new ServerBootstrap()
                .group(loop)
                .channelFactory(NioServerSocketChannel::new)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        addHandlers.accept(channel);
                    }
                })
                .bind(InetAddress.getLoopbackAddress(), localPort);
    }

    /** Returns the address that the sidecar connects to. */
    String address() {
        return "127.0.0.1:" + port;
    }

    boolean isSilent() {
        return silent;
    }

    long delayMicros() {
        return delayMicros;
    }

    void add(LinkHandler connection) {
        connections.add(connection);
    }

    void remove(LinkHandler connection) {
        connections.remove(connection);
    }

    /** Holds all data in both directions, or lets it pass again. */
    void setSilent(boolean newSilent) {
        silent = newSilent;
        List.copyOf(connections).forEach(LinkHandler::forwardDueData);
    }

    /** Delays data in both directions from now on. */
    void setDelayMicros(long newDelayMicros) {
        delayMicros = newDelayMicros;
    }

    void resetConnections() {
        new ArrayList<>(connections).forEach(LinkHandler::reset);
    }

    /** Closes all connections without a reset. */
    void closeConnections() {
        new ArrayList<>(connections).forEach(LinkHandler::close);
    }

    /** Refuses new connections, or accepts them again on the same port. */
    void setRefusing(boolean refusing) {
        if (refusing && listener != null) {
            listener.close();
            listener = null;
        } else if (!refusing && listener == null) {
            listener = bind(port).channel();
        }
    }

    void close() {
        setRefusing(true);
        resetConnections();
    }
}
