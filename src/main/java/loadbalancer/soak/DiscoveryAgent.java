package loadbalancer.soak;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import loadbalancer.soak.History.ListChange;
import loadbalancer.soak.History.ListDelivery;
import loadbalancer.soak.History.ListedState;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The agent of discovery beside one sidecar. Answers a call for the whole list at once and a watch when there is a
 * newer version, in one of the forms that the protocol allows. It listens on two addresses, between which reloads of
 * the configuration change. Confined to the event loop of the run, except the constructor.
 */
final class DiscoveryAgent {
    private static final Pattern WATCH = Pattern.compile("/registry/instances\\?index=(\\d+)&wait=(\\d+)");
    private static final int MAX_REQUEST_BYTES = 64 * 1024;
    private static final int PIECE_COUNT = 4;
    private static final long PIECE_INTERVAL_MICROS = 8_000;

    private final int sidecar;
    private final EventLoop loop;
    private final RunClock clock;
    private final History history;
    private final UniformRandomProvider random;
    private final EndpointRegistry registry;
    private final IntUnaryOperator processOfSidecar;
    private final List<Link> links = new ArrayList<>();
    private final Set<Watch> watches = new LinkedHashSet<>();
    private long knownGeneration = 1;
    private boolean down;
    private long answerDelayMicros;

    /** A call that waits for a newer version. */
    private record Watch(Channel channel, long generation, Future<?> timeout) {}

    /** Opens the two links. Blocks, so it must not be called on the event loop. */
    DiscoveryAgent(int sidecar, SoakContext context, EndpointRegistry registry, IntUnaryOperator processOfSidecar)
            throws InterruptedException {
        this.sidecar = sidecar;
        this.registry = registry;
        this.processOfSidecar = processOfSidecar;
        loop = context.loop();
        clock = context.clock();
        history = context.history();
        random = context.random();
        for (int i = 0; i < 2; i++) {
            links.add(new Link(loop, clock, this::addHandlers));
        }
    }

    private void addHandlers(SocketChannel channel) {
        channel.pipeline()
                .addLast(new HttpRequestDecoder(), new HttpObjectAggregator(MAX_REQUEST_BYTES), new CallHandler());
    }

    Link link(int index) {
        return links.get(index);
    }

    List<Link> links() {
        return links;
    }

    /** While discovery is down, the agent is silent and learns nothing. At its return it learns everything. */
    void setDown(boolean newDown) {
        down = newDown;
        links.forEach(link -> link.setSilent(newDown));
        learn();
    }

    /** Makes each answer that is decided from now on reach the sidecar this much later. */
    void setAnswerDelayMicros(long newAnswerDelayMicros) {
        answerDelayMicros = newAnswerDelayMicros;
    }

    /** Takes the newest version of the list, unless discovery is down, and answers the watches that wait for it. */
    void learn() {
        if (down || knownGeneration == registry.generation()) {
            return;
        }
        recordChanges(registry.version(knownGeneration), registry.version(registry.generation()));
        knownGeneration = registry.generation();
        for (Watch watch : new ArrayList<>(watches)) {
            watches.remove(watch);
            watch.timeout().cancel(false);
            respond(watch.channel(), watch.generation());
        }
    }

    private void recordChanges(Map<String, EndpointRegistry.Entry> from, Map<String, EndpointRegistry.Entry> to) {
        for (EndpointRegistry.Entry entry : to.values()) {
            if (!entry.equals(from.get(entry.endpoint().id()))) {
                history.listChanges.add(new ListChange(
                        sidecar,
                        registry.generation(),
                        entry.endpoint().id(),
                        entry.state(),
                        entry.startedMicros(),
                        clock.nowMicros()));
            }
        }
    }

    /** Ends the open watches without an answer, with a reset or a close. */
    void endWatches(boolean reset) {
        for (Watch watch : new ArrayList<>(watches)) {
            watches.remove(watch);
            watch.timeout().cancel(false);
            LinkHandler connection = watch.channel().pipeline().get(LinkHandler.class);
            if (connection != null && reset) {
                connection.reset();
            } else {
                watch.channel().close();
            }
        }
    }

    void close() {
        links.forEach(Link::close);
    }

    /** Returns the list that the sidecar's configuration contains. */
    String knownListJson() {
        return listJson(wholeList(), knownGeneration, true, "");
    }

    private List<EndpointRegistry.Entry> wholeList() {
        return registry.version(knownGeneration).values().stream()
                .filter(entry -> entry.state() != ListedState.GONE)
                .toList();
    }

    private List<EndpointRegistry.Entry> changesSince(long generation) {
        Map<String, EndpointRegistry.Entry> known = registry.version(generation);
        return registry.version(knownGeneration).values().stream()
                .filter(entry -> !entry.equals(known.get(entry.endpoint().id())))
                .toList();
    }

    /** @param generation the version that the sidecar has; 0 if it asks for the whole list */
    private void respond(Channel channel, long generation) {
        boolean deltaPossible = generation > 0 && generation <= knownGeneration;
        boolean delta = deltaPossible && random.nextDouble() < 0.6;
        String separator = random.nextBoolean() ? "" : "\n    ";
        String list = delta
                ? listJson(changesSince(generation), knownGeneration, false, separator)
                : listJson(wholeList(), knownGeneration, true, separator);
        write(channel, RawHttp.response("200 OK", "Content-Type: application/json\r\n", list), knownGeneration);
    }

    private void write(Channel channel, String response, long generation) {
        int process = processOfSidecar.applyAsInt(sidecar);
        int pieces = random.nextDouble() < 0.3 ? PIECE_COUNT : 1;
        for (int i = 0; i < pieces; i++) {
            String piece = response.substring(response.length() * i / pieces, response.length() * (i + 1) / pieces);
            boolean last = i == pieces - 1;
            loop.schedule(
                    () -> writePiece(channel, RawHttp.bytes(piece), last, process, generation),
                    answerDelayMicros + i * PIECE_INTERVAL_MICROS,
                    TimeUnit.MICROSECONDS);
        }
    }

    private void writePiece(Channel channel, ByteBuf piece, boolean last, int process, long generation) {
        channel.writeAndFlush(piece).addListener(written -> {
            if (last && written.isSuccess()) {
                history.listDeliveries.add(new ListDelivery(process, generation, clock.nowMicros()));
            }
        });
    }

    private String listJson(
            List<EndpointRegistry.Entry> entries, long generation, boolean fullSnapshot, String separator) {
        StringJoiner instances = new StringJoiner("," + separator);
        for (EndpointRegistry.Entry entry : entries) {
            String lifecycle =
                    switch (entry.state()) {
                        case READY -> "Ready";
                        case DRAINING -> "Terminating";
                        default -> "Gone";
                    };
            instances.add(String.join(
                    separator,
                    "{\"instanceId\":\"" + entry.endpoint().id() + "\",",
                    "\"hostPort\":\"" + entry.endpoint().link(sidecar).address() + "\",",
                    "\"zone\":\"z\",\"machineType\":\"k\",\"cell\":" + entry.cell() + ",",
                    "\"lifecycle\":\"" + lifecycle + "\",\"weight\":1.0,",
                    "\"startedAtMs\":" + entry.startedUnixMillis() + "}"));
        }
        return "{\"generation\":" + generation + ",\"reset\":" + fullSnapshot + ",\"instances\":[" + instances + "]}";
    }

    /** Takes the calls of one connection. */
    private final class CallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Channel channel = context.channel();
            Matcher watch = WATCH.matcher(request.uri());
            if (!watch.matches()) {
                respond(channel, 0);
                return;
            }
            long generation = Long.parseLong(watch.group(1));
            if (generation == knownGeneration) {
                await(channel, generation, Long.parseLong(watch.group(2)));
            } else {
                respond(channel, generation);
            }
        }

        private void await(Channel channel, long generation, long waitMillis) {
            Watch[] watch = new Watch[1];
            Future<?> timeout = loop.schedule(
                    () -> {
                        watches.remove(watch[0]);
                        write(
                                channel,
                                RawHttp.response("200 OK", "", listJson(List.of(), knownGeneration, false, "")),
                                knownGeneration);
                    },
                    waitMillis,
                    TimeUnit.MILLISECONDS);
            watch[0] = new Watch(channel, generation, timeout);
            watches.add(watch[0]);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            watches.removeIf(watch -> watch.channel() == context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
