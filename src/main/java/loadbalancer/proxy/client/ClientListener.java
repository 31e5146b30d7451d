package loadbalancer.proxy.client;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;

/**
 * The listening socket for clients. {@link #bind} is called by another thread than the event loop's, once; all other
 * methods are called on the event loop, and {@link #isOpen} and {@link #close} only after {@code bind} has returned.
 */
final class ClientListener {
    private static final int SYSTEM_BACKLOG = 256;
    /** Enough to read all that a client pipelines, and the end of the connection behind it, in one iteration. */
    private static final int MAX_READS_PER_ITERATION = 64;

    private final ReadTrackingEventLoop eventLoop;
    private final AcceptBacklog backlog;
    private final Consumer<Channel> onAccepted;
    private Channel channel;
    private long lastAcceptedMicros;

    /** {@code onAccepted} sets up the pipeline of an accepted connection, on the event loop. */
    ClientListener(ReadTrackingEventLoop eventLoop, Consumer<Channel> onAccepted) {
        this.eventLoop = eventLoop;
        this.onAccepted = onAccepted;
        backlog = new AcceptBacklog(eventLoop);
    }

    /**
     * Listens on {@code address} and returns the address that is bound. Connections may be accepted before it returns.
     */
    InetSocketAddress bind(InetSocketAddress address) throws InterruptedException {
        channel = new ServerBootstrap()
                .group(eventLoop.eventLoop())
                .channelFactory(NioServerSocketChannel::new)
                .handler(backlog)
                .option(ChannelOption.SO_BACKLOG, SYSTEM_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // A read that does not fill its buffer is not the last: the end of the connection may follow.
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator()
                                .respectMaybeMoreData(false)
                                .maxMessagesPerRead(MAX_READS_PER_ITERATION))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        lastAcceptedMicros = eventLoop.clock().nowMicros();
                        onAccepted.accept(accepted);
                    }
                })
                .bind(address)
                .sync()
                .channel();
        return (InetSocketAddress) channel.localAddress();
    }

    /** Pauses or resumes accepting; connections wait in the system's backlog meanwhile. */
    void setAccepting(boolean accepting) {
        backlog.setAccepting(accepting);
    }

    /** How long a connection that is accepted now has waited at most, in microseconds. */
    long maxBacklogWaitMicros() {
        return backlog.maxWaitMicros();
    }

    /**
     * How long no connection has come, in microseconds. While accepting is paused it is not known whether any comes: 0,
     * and counted from then on.
     */
    long idleMicros(long nowMicros) {
        if (!backlog.isAccepting()) {
            lastAcceptedMicros = nowMicros;
        }
        return nowMicros - lastAcceptedMicros;
    }

    boolean isAccepting() {
        return backlog.isAccepting();
    }

    boolean isOpen() {
        return channel.isOpen();
    }

    /** Closes the listening socket and resets the connections in the system's backlog. */
    void close() {
        channel.close();
    }
}
