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
    /**
     * Enough to read all requests that a client pipelined, and the end of the connection after them, in one iteration
     * of the event loop.
     */
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
                .group(eventLoop.nettyEventLoop())
                .channelFactory(NioServerSocketChannel::new)
                .handler(backlog)
                .option(ChannelOption.SO_BACKLOG, SYSTEM_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // Netty would stop after a read that does not fill the buffer, and miss an end of connection that
                // follows.
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

    /** Pauses or resumes accepting. While it is paused, new connections wait in the operating system's backlog. */
    void setAccepting(boolean accepting) {
        backlog.setAccepting(accepting);
    }

    /** The longest time, in microseconds, that a connection accepted now can have waited in the backlog. */
    long maxBacklogWaitMicros() {
        return backlog.maxWaitMicros();
    }

    /**
     * The time since the last connection was accepted, in microseconds. Returns 0 while accepting is paused, as it is
     * not known then whether connections are waiting; the time is counted from the last such call.
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
