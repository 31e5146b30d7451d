package loadbalancer.soak;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;
import loadbalancer.soak.History.EndpointCall;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * An endpoint with a few cores, which executes requests in the order of their arrival, slower while it is in slow
 * start. Its faults are set from outside. Confined to the event loop of the run, except the constructor.
 */
final class EndpointStandIn {
    /** How an endpoint responds to a request that it has executed. */
    enum ResponseFault {
        NONE,
        WITHOUT_LENGTH,
        WITHOUT_LENGTH_THEN_RESET,
        TRUNCATED,
        GARBAGE,
        ERROR,
        RESET,
        TWICE
    }

    private static final int MAX_REQUEST_BYTES = 128 * 1024;
    /** A request that would wait longer is turned away. */
    private static final long MAX_QUEUE_MICROS = 1_500_000;

    private static final long SECOND_RESPONSE_DELAY_MICROS = 8_000;

    private final EventLoop loop;
    private final RunClock clock;
    private final SoakSettings settings;
    private final History history;
    private final UniformRandomProvider random;
    private final IntUnaryOperator processOfSidecar;
    private final String id;
    private final int cell;
    private final List<Link> links = new ArrayList<>();
    private final long[] coreFreeMicros = new long[SoakSettings.CORES_PER_ENDPOINT];
    private final Set<Call> openCalls = new LinkedHashSet<>();
    private long startedMicros;
    private boolean hanging;
    private double slowness = 1;
    private double faultProbability;

    /** One received request until it has ended. */
    private static final class Call {
        final String requestId;
        final int process;
        final long firstByteMicros;
        final long takenMicros;
        final long remainingMicros;
        boolean executed;

        Call(String requestId, int process, long firstByteMicros, long takenMicros, long remainingMicros) {
            this.requestId = requestId;
            this.process = process;
            this.firstByteMicros = firstByteMicros;
            this.takenMicros = takenMicros;
            this.remainingMicros = remainingMicros;
        }
    }

    /**
     * Opens a link for each sidecar. Blocks, so it must not be called on the event loop.
     *
     * @param processOfSidecar returns the number of the process that a sidecar runs in now
     */
    EndpointStandIn(String id, int cell, SoakContext context, IntUnaryOperator processOfSidecar)
            throws InterruptedException {
        this.id = id;
        this.cell = cell;
        this.processOfSidecar = processOfSidecar;
        loop = context.loop();
        clock = context.clock();
        settings = context.settings();
        history = context.history();
        random = context.random();
        for (int sidecar = 0; sidecar < settings.sidecarCount(); sidecar++) {
            int linkedSidecar = sidecar;
            links.add(new Link(loop, clock, channel -> addHandlers(channel, linkedSidecar)));
        }
    }

    private void addHandlers(SocketChannel channel, int sidecar) {
        channel.pipeline()
                .addLast(
                        new HttpRequestDecoder(),
                        new HttpObjectAggregator(MAX_REQUEST_BYTES),
                        new RequestHandler(sidecar));
    }

    String id() {
        return id;
    }

    Link link(int sidecar) {
        return links.get(sidecar);
    }

    List<Link> links() {
        return links;
    }

    /** Returns when the process started, 0 if long ago. */
    long startedMicros() {
        return startedMicros;
    }

    void setHanging(boolean newHanging) {
        hanging = newHanging;
    }

    void setSlowness(double factor) {
        slowness = factor;
    }

    void setFaultProbability(double probability) {
        faultProbability = probability;
    }

    /** Ends the process: connections are reset and new ones refused. */
    void crash() {
        for (Link link : links) {
            link.setRefusing(true);
            link.resetConnections();
        }
        Arrays.fill(coreFreeMicros, 0);
    }

    /** Starts a new process, which is in slow start. */
    void restart() {
        startedMicros = clock.nowMicros();
        hanging = false;
        slowness = 1;
        for (Link link : links) {
            link.setSilent(false);
            link.setRefusing(false);
        }
    }

    /** Records the calls that have not ended, and closes all links. */
    void close() {
        new ArrayList<>(openCalls).forEach(this::end);
        links.forEach(Link::close);
    }

    private void end(Call call) {
        if (openCalls.remove(call)) {
            history.endpointCalls.add(new EndpointCall(
                    call.requestId,
                    id,
                    cell,
                    startedMicros,
                    call.process,
                    call.firstByteMicros,
                    call.takenMicros,
                    call.remainingMicros,
                    call.executed,
                    clock.nowMicros()));
        }
    }

    private void execute(Call call, Channel channel) {
        int core = 0;
        for (int i = 1; i < coreFreeMicros.length; i++) {
            core = coreFreeMicros[i] < coreFreeMicros[core] ? i : core;
        }
        long nowMicros = clock.nowMicros();
        long startMicros = Math.max(nowMicros, coreFreeMicros[core]);
        if (startMicros - nowMicros > MAX_QUEUE_MICROS) {
            write(call, channel, RawHttp.response("503 Busy", "X-Turned-Away: 1\r\n", ""));
            return;
        }
        call.executed = true;
        long workMicros = workMicros(call.requestId);
        double speed = startedMicros == 0 ? 1 : settings.capacityRatio(nowMicros - startedMicros);
        coreFreeMicros[core] = startMicros + (long) (workMicros * slowness / speed);
        if (!hanging) {
            long delayMicros = coreFreeMicros[core] - nowMicros;
            loop.schedule(() -> respond(call, channel), delayMicros, TimeUnit.MICROSECONDS);
        }
    }

    /** The request id ends with the number of its class. */
    private long workMicros(String requestId) {
        int kind = Character.digit(requestId.charAt(requestId.length() - 1), 10);
        boolean known = kind >= 0 && kind < settings.kinds().size();
        return known ? settings.kinds().get(kind).workMicros() : (long) settings.meanWorkMicros();
    }

    private void respond(Call call, Channel channel) {
        if (!openCalls.contains(call)) {
            return;
        }
        String body = call.requestId + " " + id + " " + Long.toHexString(random.nextLong());
        ResponseFault fault = random.nextDouble() < faultProbability
                ? ResponseFault.values()[random.nextInt(ResponseFault.values().length)]
                : ResponseFault.NONE;
        if (fault != ResponseFault.TRUNCATED && fault != ResponseFault.GARBAGE) {
            history.endpointBodies.add(body);
        }
        switch (fault) {
            case WITHOUT_LENGTH -> write(call, channel, RawHttp.responseWithoutLength(body))
                    .addListener(ChannelFutureListener.CLOSE);
            case WITHOUT_LENGTH_THEN_RESET -> {
                history.endpointBodies.remove(body);
                write(call, channel, RawHttp.responseWithoutLength(body));
                loop.schedule(() -> reset(channel), SECOND_RESPONSE_DELAY_MICROS, TimeUnit.MICROSECONDS);
            }
            case TRUNCATED -> write(call, channel, RawHttp.truncatedResponse(body))
                    .addListener(ChannelFutureListener.CLOSE);
            case GARBAGE -> write(call, channel, "\u0001" + body + "\r\n\r\n").addListener(ChannelFutureListener.CLOSE);
            case ERROR -> write(call, channel, RawHttp.response("500 Error", "", body));
            case RESET -> {
                end(call);
                reset(channel);
            }
            case TWICE -> {
                write(call, channel, RawHttp.response("200 OK", "", body));
                loop.schedule(
                        () -> channel.writeAndFlush(RawHttp.bytes(RawHttp.response("200 OK", "", body))),
                        SECOND_RESPONSE_DELAY_MICROS,
                        TimeUnit.MICROSECONDS);
            }
            default -> write(call, channel, RawHttp.response("200 OK", "", body));
        }
    }

    private ChannelFuture write(Call call, Channel channel, String response) {
        end(call);
        return channel.writeAndFlush(RawHttp.bytes(response));
    }

    private static void reset(Channel channel) {
        LinkHandler handler = channel.pipeline().get(LinkHandler.class);
        if (handler != null) {
            handler.reset();
        }
    }

    /** Takes the requests of one connection. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final int sidecar;
        private Call call;

        RequestHandler(int sidecar) {
            this.sidecar = sidecar;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Long firstByteMicros =
                    context.channel().attr(LinkHandler.FIRST_BYTE_MICROS).getAndSet(null);
            long nowMicros = clock.nowMicros();
            String requestId = request.headers().get("X-Txn", "");
            long remainingMillis = request.headers().getInt("X-Remaining-Ms", 0);
            call = new Call(
                    requestId,
                    processOfSidecar.applyAsInt(sidecar),
                    firstByteMicros == null ? nowMicros : firstByteMicros,
                    nowMicros,
                    remainingMillis * 1_000);
            openCalls.add(call);
            if (requestId.isEmpty()) {
                write(call, context.channel(), RawHttp.response("404 Not Found", "", ""));
            } else {
                execute(call, context.channel());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (call != null) {
                end(call);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
