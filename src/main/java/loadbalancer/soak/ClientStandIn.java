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
import loadbalancer.soak.History.RepeatedId;
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

    /** More than the sidecar admits. */
    private static final int HALF_WRITTEN_CONNECTIONS = 300;

    private static final int COSTLY_CONNECTIONS = 140;
    /** Clients that leave behind unread input while the costly connections are read. */
    private static final int LEAVING_CONNECTIONS = 6;

    private static final long LEAVING_DELAY_MILLIS = 150;
    private static final String BEGINNING_BEHIND_REQUEST =
            "POST /api HTTP/1.1\r\nHost: api\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(10_000);

    /** Requests on new connections that come right after a crowd. */
    private static final int REQUESTS_AFTER_CROWD = 10;

    private static final long REQUEST_AFTER_CROWD_INTERVAL_MILLIS = 20;
    private static final double REPEAT_ID_PROBABILITY = 0.5;
    private static final int MIN_REPEAT_DELAY_MILLIS = 110;
    private static final int MAX_REPEAT_DELAY_MILLIS = 600;

    private static final double MEAN_ARRIVAL_INTERVAL_MICROS = 18_000;
    private static final double LEAVE_PROBABILITY = 0.04;
    private static final double PIPELINE_PROBABILITY = 0.03;
    private static final int PIPELINED_REQUESTS = 3;
    /** Clients wait for at least this part of the deadline of the class. */
    private static final double MIN_REMAINING_RATIO = 0.4;

    private static final double LONG_BODY_PROBABILITY = 0.1;
    private static final int LONG_BODY_BYTES = 60_000;
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

    /**
     * Opens more connections than the sidecar admits, all at once. Half of them send nothing, the others the start of a
     * request. Has no effect while other bad clients are connected.
     */
    void halfWrittenCrowd() {
        if (crowd > 0 || stalledCrowd > 0) {
            return;
        }
        for (int i = 0; i < HALF_WRITTEN_CONNECTIONS; i++) {
            boolean silent = i % 2 == 0;
            connect(channel -> {
                crowd++;
                channel.closeFuture().addListener(closed -> crowd--);
                if (!silent) {
                    channel.writeAndFlush(RawHttp.bytes("POST /api HTTP/1.1\r\nHost: api\r\n"));
                }
            });
        }
        sendOnNewConnections(0);
    }

    private void sendOnNewConnections(int bodyBytes) {
        for (int i = 1; i <= REQUESTS_AFTER_CROWD; i++) {
            context.loop()
                    .schedule(
                            () -> sendOnNewConnection(List.of(newRequest(bodyBytes))),
                            i * REQUEST_AFTER_CROWD_INTERVAL_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    /** Draws a request whose client waits for the shortest time that clients of its class wait. */
    private OpenRequest newRequest(int bodyBytes) {
        RequestKind kind = context.settings().drawKind(random);
        long remainingMicros = (long) (kind.deadlineMicros() * MIN_REMAINING_RATIO);
        return new OpenRequest(newId(kind), kind, remainingMicros / 1_000 * 1_000, bodyBytes);
    }

    private String newId(RequestKind kind) {
        return "c%d-%d-%d"
                .formatted(sidecar, requestCount++, context.settings().kinds().indexOf(kind));
    }

    /**
     * Opens many connections whose clients send a request in very short chunks and stay. A little later some clients
     * send a request with much behind it and leave. Has no effect while other bad clients are connected.
     */
    void costlyCrowd() {
        if (crowd > 0 || stalledCrowd > 0) {
            return;
        }
        for (int i = 0; i < COSTLY_CONNECTIONS; i++) {
            connect(channel -> {
                stalledCrowd++;
                channel.closeFuture().addListener(closed -> stalledCrowd--);
                stalledClients.sendShortChunks(channel);
            });
        }
        sendOnNewConnections(LONG_BODY_BYTES);
        context.loop()
                .schedule(
                        () -> {
                            for (int i = 0; i < LEAVING_CONNECTIONS; i++) {
                                leaveBehindUnreadInput(newRequests(1));
                            }
                        },
                        LEAVING_DELAY_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void leaveBehindUnreadInput(List<OpenRequest> requests) {
        connect(channel -> {
            ClientConnection connection = new ClientConnection(this, channel, context, false);
            connection.send(requests, process.getAsInt());
            channel.writeAndFlush(RawHttp.bytes(BEGINNING_BEHIND_REQUEST));
            connection.leave();
        });
    }

    /**
     * Sends the id of a request that has been executed once more, some time after its client has left, unless the
     * sidecar has been started again.
     */
    void mayRepeatIdAfterLeaving(OpenRequest request, int processOfRequest) {
        if (random.nextDouble() >= REPEAT_ID_PROBABILITY) {
            return;
        }
        int delayMillis = MIN_REPEAT_DELAY_MILLIS + random.nextInt(MAX_REPEAT_DELAY_MILLIS - MIN_REPEAT_DELAY_MILLIS);
        context.loop().schedule(() -> repeatId(request, processOfRequest), delayMillis, TimeUnit.MILLISECONDS);
    }

    private void repeatId(OpenRequest request, int processOfRequest) {
        boolean executed = context.history().endpointCalls.stream()
                .anyMatch(call -> call.executed() && call.requestId().equals(request.id));
        if (!executed) {
            return;
        }
        connect(channel -> {
            long nowMicros = context.clock().nowMicros();
            if (process.getAsInt() == processOfRequest) {
                context.history().repeatedIds.add(new RepeatedId(request.id, processOfRequest, nowMicros));
                channel.writeAndFlush(RawHttp.bytes(request.text()));
            }
            context.loop().schedule((Runnable) channel::close, 1, TimeUnit.SECONDS);
        });
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
        double remainingRatio = MIN_REMAINING_RATIO + (1 - MIN_REMAINING_RATIO) * random.nextDouble();
        long remainingMicros = (long) (kind.deadlineMicros() * remainingRatio);
        List<OpenRequest> requests = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int bodyBytes = random.nextDouble() < LONG_BODY_PROBABILITY ? LONG_BODY_BYTES : 0;
            requests.add(new OpenRequest(newId(kind), kind, remainingMicros / 1_000 * 1_000, bodyBytes));
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
