package loadbalancer.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import loadbalancer.soak.History.ClientOutcome;
import loadbalancer.soak.History.ClientRequest;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The clients of one sidecar. Requests arrive at random; each uses an idle connection or opens a new one. Some clients
 * leave before the response, some send several requests at once, and some stop within a request and stay. Confined to
 * the event loop of the run.
 */
final class ClientStandIn {
    private static final int MAX_RESPONSE_BYTES = 1 << 20;
    private static final int MAX_CONNECTIONS = 60;
    private static final int CROWD_CONNECTIONS = 110;
    /** With the other clients, nearly all connections that the sidecar admits. */
    private static final int STALLED_CONNECTIONS = 140;

    private static final double MEAN_ARRIVAL_INTERVAL_MICROS = 18_000;
    private static final double LEAVE_PROBABILITY = 0.04;
    private static final double PIPELINE_PROBABILITY = 0.03;
    private static final int PIPELINED_REQUESTS = 3;
    private static final double STALL_PROBABILITY = 0.01;

    private final int sidecar;
    private final SoakContext context;
    private final UniformRandomProvider random;
    private final StalledClientStandIn stalledClients;
    private final InetSocketAddress address;
    private final IntSupplier process;
    private final BooleanSupplier mayConnect;
    private final Histogram latencyMicros;
    private final ArrayDeque<ClientConnection> idleConnections = new ArrayDeque<>();
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private boolean sending;
    private boolean stopped;
    private int requestCount;
    private int crowd;
    private int stalledCrowd;

    /**
     * @param process returns the number of the process that the sidecar runs in now
     * @param mayConnect returns whether the platform lets clients open connections now
     * @param latencyMicros receives the latency of each successful response
     */
    ClientStandIn(
            int sidecar,
            SoakContext context,
            InetSocketAddress address,
            IntSupplier process,
            BooleanSupplier mayConnect,
            Histogram latencyMicros) {
        this.sidecar = sidecar;
        this.context = context;
        this.address = address;
        this.process = process;
        this.mayConnect = mayConnect;
        this.latencyMicros = latencyMicros;
        random = context.random();
        stalledClients = new StalledClientStandIn(context, process);
    }

    /** Begins to send, unless the clients send already or have been stopped. */
    void start() {
        if (!sending && !stopped) {
            sending = true;
            scheduleArrival();
        }
    }

    /** Sends nothing further. Requests that are out are awaited. */
    void stop() {
        sending = false;
        stopped = true;
    }

    /** Records the requests without a response, and closes all connections. */
    void close() {
        new ArrayList<>(connections).forEach(ClientConnection::recordPending);
        new ArrayList<>(connections).forEach(connection -> connection.channel().close());
    }

    /** Opens many connections that stay idle for some time. Has no effect while other bad clients are connected. */
    void crowd(long durationMicros) {
        if (stalledCrowd > 0) {
            return;
        }
        for (int i = 0; i < CROWD_CONNECTIONS; i++) {
            connect(channel -> {
                crowd++;
                channel.closeFuture().addListener(closed -> crowd--);
                context.loop().schedule((Runnable) channel::close, durationMicros, TimeUnit.MICROSECONDS);
            });
        }
    }

    /**
     * Opens many connections whose clients stop within a long request. Has no effect while idle clients fill the
     * descriptors, because both together would leave none.
     */
    void stallCrowd() {
        for (int i = 0; i < STALLED_CONNECTIONS && crowd == 0; i++) {
            connect(channel -> {
                stalledCrowd++;
                channel.closeFuture().addListener(closed -> stalledCrowd--);
                stalledClients.sendLongBeginning(channel);
            });
        }
    }

    private void scheduleArrival() {
        if (!sending) {
            return;
        }
        long delayMicros = (long) (-Math.log(1 - random.nextDouble()) * MEAN_ARRIVAL_INTERVAL_MICROS);
        context.loop()
                .schedule(
                        () -> {
                            arrive();
                            scheduleArrival();
                        },
                        delayMicros,
                        TimeUnit.MICROSECONDS);
    }

    private void arrive() {
        double drawn = random.nextDouble();
        if (drawn < STALL_PROBABILITY) {
            connect(stalledClients::sendBeginning);
        } else if (drawn < STALL_PROBABILITY + PIPELINE_PROBABILITY) {
            send(newRequests(PIPELINED_REQUESTS));
        } else {
            send(newRequests(1));
        }
    }

    /**
     * Draws requests of one class with the same time left. Responses come in the order of the requests, so that a
     * request with less time than the one before it could not be answered in time.
     */
    private List<OpenRequest> newRequests(int count) {
        RequestKind kind = context.settings().drawKind(random);
        int kindNumber = context.settings().kinds().indexOf(kind);
        long remainingMicros = (long) (kind.deadlineMicros() * (0.4 + 0.6 * random.nextDouble()));
        List<OpenRequest> requests = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String id = "c%d-%d-%d".formatted(sidecar, requestCount++, kindNumber);
            requests.add(new OpenRequest(id, kind, remainingMicros / 1_000 * 1_000));
        }
        return requests;
    }

    private void send(List<OpenRequest> requests) {
        while (!idleConnections.isEmpty()) {
            ClientConnection connection = idleConnections.pop();
            if (connection.channel().isActive()) {
                sendOn(connection, requests);
                return;
            }
        }
        if (connections.size() < MAX_CONNECTIONS) {
            sendOnNewConnection(requests);
        }
    }

    /** Sends the requests once more or for the first time; they are dropped if the sidecar accepts no connection. */
    private void sendOnNewConnection(List<OpenRequest> requests) {
        connect(channel -> {
            ClientConnection connection = new ClientConnection(this, channel, context, crowd == 0);
            connections.add(connection);
            channel.pipeline()
                    .addLast(new HttpResponseDecoder(), new HttpObjectAggregator(MAX_RESPONSE_BYTES), connection);
            sendOn(connection, requests);
        });
    }

    private void sendOn(ClientConnection connection, List<OpenRequest> requests) {
        connection.send(requests, process.getAsInt());
        if (random.nextDouble() < LEAVE_PROBABILITY) {
            long delayMicros = 5_000L + random.nextInt(300_000);
            context.loop().schedule(connection::leave, delayMicros, TimeUnit.MICROSECONDS);
        }
    }

    private void connect(Consumer<Channel> onConnected) {
        if (!mayConnect.getAsBoolean()) {
            return;
        }
        new Bootstrap()
                .group(context.loop())
                .channelFactory(NioSocketChannel::new)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1_000)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {}
                })
                .connect(address)
                .addListener(connected -> {
                    if (connected.isSuccess()) {
                        onConnected.accept(((ChannelFuture) connected).channel());
                    }
                });
    }

    void becameIdle(ClientConnection connection) {
        idleConnections.push(connection);
    }

    void closed(ClientConnection connection) {
        connections.remove(connection);
        idleConnections.remove(connection);
    }

    /** Sends requests again whose connection the sidecar has closed without having read them. */
    void resend(List<OpenRequest> requests) {
        sendOnNewConnection(requests);
    }

    void record(OpenRequest request, ClientOutcome outcome, int status, String body, ClientConnection connection) {
        long nowMicros = context.clock().nowMicros();
        if (outcome == ClientOutcome.RESPONSE && status == 200) {
            latencyMicros.recordValue(Math.max(0, nowMicros - request.sentMicros));
        }
        context.history()
                .clientRequests
                .add(new ClientRequest(
                        request.id,
                        request.kind,
                        connection.process(),
                        connection.number(),
                        connection.isFresh(),
                        request.sentMicros,
                        request.remainingMicros,
                        outcome,
                        nowMicros,
                        status,
                        body));
    }
}
