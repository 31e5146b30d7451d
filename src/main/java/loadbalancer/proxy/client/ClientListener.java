package loadbalancer.proxy.client;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import loadbalancer.proxy.eventloop.SocketBinding;

/**
 * The listening socket for clients. {@link #bind} is called once, on a thread other than the event loop's. All other
 * methods are called on the event loop; {@link #isOpen} and {@link #close} only after {@code bind} has returned.
 */
final class ClientListener {
    private static final int MAX_BACKLOG_CONNECTIONS = 256;
    /**
     * Enough to read all pipelined requests of a client, and the end of the connection after them, in one iteration of
     * the event loop.
     */
    private static final int MAX_READS_PER_ITERATION = 64;

    private final ReadTrackingEventLoop eventLoop;
    /** Replaced by each attempt to bind. */
    private AcceptBacklog backlog;

    private final Consumer<Channel> onAccepted;
    private final IntSupplier admissibleConnections;
    private Channel channel;
    private long lastAcceptedMicros;

    /**
     * {@code onAccepted} sets up the pipeline of an accepted connection; {@code admissibleConnections} returns how many
     * further connections may be accepted. Both are called on the event loop.
     */
    ClientListener(ReadTrackingEventLoop eventLoop, Consumer<Channel> onAccepted, IntSupplier admissibleConnections) {
        this.eventLoop = eventLoop;
        this.onAccepted = onAccepted;
        this.admissibleConnections = admissibleConnections;
        backlog = new AcceptBacklog(eventLoop);
    }

    /**
     * Listens on {@code address} and returns the address that is bound. Connections may be accepted before it returns.
     *
     * @throws java.net.BindException (not declared) if the address can't be bound
     */
    InetSocketAddress bind(InetSocketAddress address) throws InterruptedException {
        channel = SocketBinding.bind(() -> tryBind(address));
        return (InetSocketAddress) channel.localAddress();
    }

    private ChannelFuture tryBind(InetSocketAddress address) {
        // A handler belongs to one channel, and each attempt creates a channel.
        backlog = new AcceptBacklog(eventLoop);
        return new ServerBootstrap()
                .group(eventLoop.nettyEventLoop())
                .channelFactory(NioServerSocketChannel::new)
                .handler(backlog)
                .option(ChannelOption.SO_BACKLOG, MAX_BACKLOG_CONNECTIONS)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AcceptAllocator(MAX_BACKLOG_CONNECTIONS, admissibleConnections))
                .childOption(ChannelOption.TCP_NODELAY, true)
                // By default, Netty stops after a read that does not fill the buffer, and does not see the end of the
                // connection if it follows.
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, eventLoop.newReadBuffers(MAX_READS_PER_ITERATION, true))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        lastAcceptedMicros = eventLoop.clock().nowMicros();
                        onAccepted.accept(accepted);
                    }
                })
                .bind(address);
    }

    /** Pauses or resumes accepting. While it is paused, new connections wait in the accept backlog. */
    void setAccepting(boolean accepting) {
        backlog.setAccepting(accepting);
    }

    /** Returns the result of {@link AcceptBacklog#maxWaitMicros}. */
    long maxBacklogWaitMicros() {
        return backlog.maxWaitMicros();
    }

    /**
     * Returns the time since the last connection was accepted, in microseconds; {@code nowMicros} if none has been
     * accepted. Returns 0 while accepting is paused, because it is not known then whether connections are waiting.
     * After a pause, the time counts from the last call of this method during the pause.
     */
    long idleMicros(long nowMicros) {
        if (!backlog.isAccepting()) {
            lastAcceptedMicros = nowMicros;
        }
        return nowMicros - lastAcceptedMicros;
    }

    /** Returns for how long accepting was paused since the last call, in microseconds, and resets it. */
    long resetPausedMicros() {
        return backlog.resetPausedMicros();
    }

    boolean isAccepting() {
        return backlog.isAccepting();
    }

    boolean isOpen() {
        return channel.isOpen();
    }

    /** Closes the listening socket; this resets the connections in the accept backlog. */
    void close() {
        channel.close();
    }
}
