package loadbalancer.proxy.client;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import loadbalancer.proxy.eventloop.FaultBarrier;
import loadbalancer.proxy.eventloop.MonotonicClock;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import loadbalancer.proxy.observability.SidecarLog;
import loadbalancer.proxy.observability.TrafficStatistics;
import loadbalancer.settings.RequestClass;

/** The application's side: listens, and says goodbye without losing what clients have sent. */
public final class ClientServer {
    /** The application opens connections for this long after the stop has been asked for, and a little longer. */
    private static final long SERVE_ON_MS = 600;
    /** A connection this young or this busy may have a request on its way. */
    private static final long QUIET_MS = 150;

    private static final long LOOK_MS = 20;
    /** Reads in a row from one connection: all that clients send ahead, and the end that stands behind it. */
    private static final int READS = 64;
    /** Its first request may still be on its way. */
    private static final long FRESH_US = 50_000;
    /** An application that goes on coming for this long does not know of the stop. */
    private static final long LISTEN_ON_MS = 1_000;
    /**
     * A program that was asked to end is killed so long afterwards, and the longest deadline, at most 3 s of it, later:
     * a request that comes in the meantime needs its answer before. A part of it is left for the answer's way.
     */
    private static final long KILL_MS = 700 - 100;

    private static final long KILL_MOST_MS = 3_000;

    private final ReadTrackingEventLoop reads;
    private final EventLoop loop;
    private final RequestDispatcher requests;
    private final MonotonicClock clock;
    private final RequestClasses classes;
    private final RequestExchangeFactory exchanges;
    private final BooleanSupplier canServe;
    private final int maxConnections;
    /** Whether the descriptors suffice for one more connection. */
    private final BooleanSupplier roomForMore;
    /** The most connections of clients that are kept open between requests. */
    private final int maxSpare;

    private final TrafficStatistics totals;
    private final Set<ClientConnection> connections = new HashSet<>();
    private final AcceptBacklog backlog;
    private Channel listener;
    /** Null but while a rehearsal is on. */
    private Runnable rehearsal;

    private long stopAtUs;
    /** The latest time for an answer to what comes from now on. */
    private long answerByUs = Long.MAX_VALUE;

    private int spare;
    private long acceptedUs;

    public ClientServer(
            ReadTrackingEventLoop reads,
            RequestDispatcher requests,
            List<RequestClass> classes,
            BooleanSupplier canServe,
            int maxConnections,
            BooleanSupplier roomForMore,
            int maxSpare,
            TrafficStatistics totals) {
        this.reads = reads;
        loop = reads.eventLoop();
        backlog = new AcceptBacklog(reads);
        clock = reads.clock();
        this.requests = requests;
        this.classes = new RequestClasses(classes);
        exchanges = new RequestExchangeFactory(reads, new RequestParser(this.classes), requests, this::answerByUs);
        this.canServe = canServe;
        this.maxConnections = maxConnections;
        this.roomForMore = roomForMore;
        this.maxSpare = maxSpare;
        this.totals = totals;
    }

    /**
     * Requests whose first attempt or answer is still to come keep the class, and the deadline, they were taken with.
     */
    public void updateRequestClasses(List<RequestClass> known) {
        classes.replaceAll(known);
    }

    /** How many connections the application holds. */
    public int openConnections() {
        return connections.size();
    }

    public InetSocketAddress listen(InetSocketAddress address) throws InterruptedException {
        listener = new ServerBootstrap()
                .group(loop)
                .channelFactory(NioServerSocketChannel::new)
                .handler(backlog)
                .option(ChannelOption.SO_BACKLOG, 256)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // A short read is no end of what there is: behind it may stand the end of the connection.
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator()
                                .respectMaybeMoreData(false)
                                .maxMessagesPerRead(READS))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted(channel);
                    }
                })
                .bind(address)
                .sync()
                .channel();
        return (InetSocketAddress) listener.localAddress();
    }

    /** Not ready from now on. The first request that is taken all the same is told to {@code cut}. */
    public void holdReadinessForWarmUp(Runnable cut) {
        rehearsal = cut;
    }

    public void warmUpCompleted() {
        rehearsal = null;
    }

    /** A request was taken: there is no time for a rehearsal any more. */
    void taken() {
        if (rehearsal != null) {
            rehearsal.run();
        }
    }

    /**
     * Whether one more connection may stay open for the next request. An application that does not use again what it
     * keeps would run out of connections while hardly any of them is busy.
     */
    boolean keepsOneMore() {
        return !stopping() && spare < maxSpare;
    }

    void spare(int more) {
        spare += more;
    }

    private void accepted(Channel channel) {
        // Not the field: clients that come at once are here before listen() has set it.
        ChannelConfig accepting = channel.parent().config();
        acceptedUs = clock.nowMicros();
        requests.failOverdueRequests();
        ClientConnection connection =
                new ClientConnection(channel, reads, requests, exchanges, this, backlog.waitedUs());
        connections.add(connection);
        totals.clientConnectionAccepted();
        if (connections.size() >= maxConnections) {
            makeRoom(acceptedUs);
        }
        // Beyond the cap they wait in the backlog: descriptors are needed for upstreams too.
        backlog.accept(accepting, takesOneMore());
        channel.closeFuture().addListener(f -> {
            connections.remove(connection);
            backlog.accept(accepting, takesOneMore());
        });
        channel.pipeline()
                .addLast(
                        connection.arrivals(),
                        new RequestDecoder(),
                        new HttpResponseEncoder(),
                        new RequestAggregator(connection::nothingOwed),
                        connection);
    }

    /** Where it stops, none comes that could use up more than its part: what waits in the backlog is the last. */
    private boolean takesOneMore() {
        return (stopping() || connections.size() < maxConnections) && roomForMore.getAsBoolean();
    }

    /** One between requests goes: first who has never asked, then who asked longest ago. Neither right after coming. */
    private void makeRoom(long now) {
        Optional<ClientConnection> idle = connections.stream()
                .filter(c -> c.idleFor(now) > FRESH_US)
                .min(Comparator.comparing(ClientConnection::hasAsked).thenComparing(ClientConnection::activeUs));
        idle.ifPresent(ClientConnection::close);
    }

    /**
     * Some times a second: who says nothing, or only half of something, or nothing more, holds a descriptor that others
     * need.
     */
    public void closeStalledConnections() {
        long now = clock.nowMicros();
        List.copyOf(connections).forEach(c -> c.expire(now));
        if (connections.size() >= maxConnections) {
            makeRoom(now);
        }
        // What upstreams' connections have given back since.
        backlog.accept(listener.config(), takesOneMore());
    }

    boolean ready() {
        return !stopping() && rehearsal == null && canServe.getAsBoolean();
    }

    boolean stopping() {
        return stopAtUs > 0;
    }

    long answerByUs() {
        return answerByUs;
    }

    /** Serves on while the application still comes, answers what is held, closes what is quiet, then says so. */
    public void shutDownGracefully(Runnable stopped) {
        long now = clock.nowMicros();
        stopAtUs = now + SERVE_ON_MS * 1000;
        answerByUs = now + KILL_MS * 1000 + Math.min(KILL_MOST_MS * 1000, classes.longestDeadlineMicros());
        SidecarLog.info("a stop was asked for: " + connections.size() + " clients' connections");
        look(stopped);
    }

    /** Again and again until all is closed, whatever fails meanwhile: else the process would never end. */
    private void look(Runnable stopped) {
        boolean[] done = new boolean[1];
        FaultBarrier.run("a look at what is still open", () -> done[0] = closeWhatIsQuiet());
        if (done[0]) {
            SidecarLog.info("all clients' connections are closed");
            stopped.run();
        } else {
            loop.schedule(() -> look(stopped), LOOK_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** True once nothing is open any more. */
    private boolean closeWhatIsQuiet() {
        long now = clock.nowMicros();
        if (now >= stopAtUs) {
            // Closing the listener would reset what waits in its backlog: only once none has come for a while, in which
            // it was read. While descriptors are wanting, what waits there is not seen.
            boolean accepting = listener.config().isAutoRead();
            if (!accepting) {
                acceptedUs = now;
            }
            if (listener.isOpen()
                    && accepting
                    && (now - acceptedUs >= QUIET_MS * 1000 || now >= stopAtUs + LISTEN_ON_MS * 1000)) {
                listener.close();
                SidecarLog.info("listens no more: " + connections.size() + " clients' connections");
            }
            for (ClientConnection c : Set.copyOf(connections)) {
                c.closeIfQuiet(now - QUIET_MS * 1000, now - classes.longestDeadlineMicros());
            }
        }
        return now >= stopAtUs && connections.isEmpty() && !listener.isOpen();
    }
}
