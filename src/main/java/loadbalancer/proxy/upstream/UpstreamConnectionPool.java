package loadbalancer.proxy.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.EncoderException;
import io.netty.handler.codec.http.FullHttpRequest;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import loadbalancer.decision.AttemptOutcome;
import loadbalancer.decision.EndpointState;
import loadbalancer.proxy.eventloop.ClientBootstraps;
import loadbalancer.proxy.eventloop.FaultBarrier;
import loadbalancer.proxy.eventloop.MonotonicClock;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import loadbalancer.proxy.observability.TrafficStatistics;
import loadbalancer.proxy.protocol.EndpointList;

/** Connections to the upstreams, and the calls on them: attempts and probes. */
public final class UpstreamConnectionPool {
    /** Idle connections are dropped this much before an upstream may drop them: a request then can't cross it. */
    private static final long IDLE_MARGIN_US = 2_000_000;

    private static final long SWEEP_MS = 1_000;
    /**
     * A connection rests after its answer before it carries the next request: an upstream that answers twice does so
     * some milliseconds apart, and a second answer behind the next request would be taken for that one's.
     */
    public static final long REST_US = 30_000;

    /** An upstream as the list has it now; another address or start makes it another one. */
    static final class Target {
        final InetSocketAddress address;
        final long startedUs;
        EndpointState state;
        final ArrayDeque<Channel> idle = new ArrayDeque<>();

        Target(EndpointList.Entry entry) {
            address = entry.address();
            startedUs = entry.endpoint().startedMicros();
        }

        boolean is(EndpointList.Entry entry) {
            return address.equals(entry.address())
                    && startedUs == entry.endpoint().startedMicros();
        }
    }

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final ReadTrackingEventLoop reads;
    private long idleUs;
    private long stallUs;
    private final long restUs;
    /** How many connections may be open now: what others leave of the descriptors. */
    private final IntSupplier maxConnections;

    private final TrafficStatistics totals;
    private final Bootstrap bootstrap;
    private final Map<String, Target> targets = new HashMap<>();
    private int connections;

    public UpstreamConnectionPool(
            ReadTrackingEventLoop reads,
            long connIdleUs,
            long restUs,
            long dialTimeoutUs,
            long stallUs,
            IntSupplier maxConnections,
            TrafficStatistics totals) {
        this.reads = reads;
        loop = reads.eventLoop();
        clock = reads.clock();
        this.maxConnections = maxConnections;
        this.totals = totals;
        this.restUs = restUs;
        bootstrap = ClientBootstraps.tcp(loop, 1, channel -> UpstreamConnection.on(channel, this.stallUs));
        updateTimeouts(connIdleUs, dialTimeoutUs, stallUs);
        loop.scheduleWithFixedDelay(
                () -> FaultBarrier.run("the sweep of idle connections", this::dropIdle),
                SWEEP_MS,
                SWEEP_MS,
                TimeUnit.MILLISECONDS);
    }

    /** For connections from now on, but the idle time, which ends those too that are idle now. */
    public void updateTimeouts(long connIdleUs, long dialTimeoutUs, long stalledUs) {
        idleUs = Math.max(connIdleUs / 2, connIdleUs - IDLE_MARGIN_US);
        stallUs = stalledUs;
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, dialTimeoutUs / 1000));
    }

    /** Connections to what drained, went or is now another process are of no more use. */
    public void updateEndpoints(EndpointList list) {
        Set<String> named = new HashSet<>();
        for (EndpointList.Entry e : list.entries()) {
            String id = e.endpoint().id();
            named.add(id);
            Target t = targets.get(id);
            if (t == null || !t.is(e)) {
                forget(t);
                t = new Target(e);
                targets.put(id, t);
            }
            t.state = e.endpoint().state();
            if (t.state != EndpointState.READY) {
                closeIdleConnections(t);
            }
            if (t.state == EndpointState.REMOVED) {
                // Its successors come under new ids: kept, the map would grow with each of them.
                targets.remove(id);
            }
        }
        if (list.fullSnapshot()) {
            targets.entrySet().removeIf(e -> {
                if (named.contains(e.getKey())) {
                    return false;
                }
                forget(e.getValue());
                return true;
            });
        }
    }

    /** How many upstreams are kept. */
    int endpointCount() {
        return targets.size();
    }

    /** How many connections are open or coming up. */
    public int openConnections() {
        return connections;
    }

    public boolean hasReadyEndpoint() {
        return targets.values().stream().anyMatch(t -> t.state == EndpointState.READY);
    }

    private void forget(Target t) {
        if (t != null) {
            t.state = EndpointState.REMOVED;
            closeIdleConnections(t);
        }
    }

    private void closeIdleConnections(Target t) {
        for (Channel c; (c = t.idle.poll()) != null; ) {
            c.close();
        }
    }

    public void closeIdleConnections(String upstream) {
        Target t = targets.get(upstream);
        if (t != null) {
            closeIdleConnections(t);
        }
    }

    public void startCall(UpstreamCall call) {
        long now = clock.nowMicros();
        call.sentAt(now);
        call.target = targets.get(call.upstream());
        if (call.target == null || call.target.state != EndpointState.READY) {
            call.end(AttemptOutcome.NOT_SENT, null, null);
            return;
        }
        call.timeout = loop.schedule(call::timedOut, call.untilUs - now, TimeUnit.MICROSECONDS);
        reads.afterPendingReads(() -> begin(call));
    }

    /** Unless it was withdrawn, or its upstream changed, while what else had come was read. */
    private void begin(UpstreamCall call) {
        if (mayBegin(call)) {
            Channel channel = takeIdle(call.target, clock.nowMicros());
            if (channel != null) {
                call.channel = channel;
                write(call);
            } else {
                connect(call);
            }
        }
    }

    /** False where it is over, or ends here: the list changed or time ran out, and nothing may be sent any more. */
    private boolean mayBegin(UpstreamCall call) {
        boolean ready = call.target.state == EndpointState.READY;
        if (!call.ended() && (!ready || clock.nowMicros() >= call.untilUs)) {
            call.abandon(ready ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.NOT_SENT);
        }
        return !call.ended();
    }

    /** The most recently used first of those that have rested, so that the others grow old enough to be dropped. */
    private Channel takeIdle(Target t, long now) {
        for (Iterator<Channel> i = t.idle.iterator(); i.hasNext(); ) {
            Channel c = i.next();
            boolean usable = usable(c, now);
            if (usable && !connection(c).rested(reads.lastReadMicros())) {
                continue;
            }
            i.remove();
            if (usable) {
                return c;
            }
            c.close();
        }
        return null;
    }

    private boolean usable(Channel c, long now) {
        return c.isActive() && connection(c).clean() && now - connection(c).idleSinceUs < idleUs;
    }

    private static UpstreamConnection connection(Channel c) {
        // Not from the pipeline, which has lost its handlers once the other side has closed.
        return c.attr(UpstreamConnection.KEY).get();
    }

    private void connect(UpstreamCall call) {
        if (connections >= maxConnections.getAsInt() && !closeOldestIdleConnection()) {
            call.end(AttemptOutcome.NOT_SENT, null, null);
            return;
        }
        connections++;
        totals.upstreamConnectionOpened();
        ChannelFuture connecting = bootstrap.connect(call.target.address);
        call.channel = connecting.channel();
        connecting.addListener(f -> {
            // One that could not even be opened, for want of descriptors, never closes: it must not count for ever.
            if (f.isSuccess()) {
                call.channel.closeFuture().addListener(closed -> connections--);
            } else {
                connections--;
            }
            if (call.ended()) {
                call.channel.close();
            } else if (!f.isSuccess()) {
                call.broke();
            } else {
                reads.afterPendingReads(() -> {
                    if (mayBegin(call)) {
                        write(call);
                    }
                });
            }
        });
    }

    /** False where every connection is in use. */
    public boolean closeOldestIdleConnection() {
        Target oldest = null;
        for (Target t : targets.values()) {
            if (!t.idle.isEmpty()
                    && (oldest == null
                            || connection(t.idle.peekLast()).idleSinceUs
                                    < connection(oldest.idle.peekLast()).idleSinceUs)) {
                oldest = t;
            }
        }
        if (oldest != null) {
            oldest.idle.pollLast().close();
        }
        return oldest != null;
    }

    private void write(UpstreamCall call) {
        FullHttpRequest message = call.message.apply(call.untilUs - clock.nowMicros());
        message.headers()
                .set("Host", "api.internal")
                .set("Content-Length", message.content().readableBytes());
        connection(call.channel).begin(call, this::release);
        call.channel.writeAndFlush(message).addListener(f -> {
            if (f.isSuccess()) {
                call.written = true;
            } else {
                call.channel.close();
                // What can't be put into words is its client's fault: no upstream has seen it.
                call.end(
                        f.cause() instanceof EncoderException
                                ? AttemptOutcome.INVALID_REQUEST
                                : AttemptOutcome.CONNECT_FAILED,
                        null,
                        null);
            }
        });
    }

    private void release(UpstreamCall call, Channel channel) {
        if (call.target.state == EndpointState.READY && call.written) {
            connection(channel).idleSinceUs = clock.nowMicros();
            connection(channel).restUntil(restUs > 0 ? clock.nowMicros() + restUs : 0);
            call.target.idle.addFirst(channel);
        } else {
            channel.close();
        }
    }

    private void dropIdle() {
        long now = clock.nowMicros();
        for (Target t : targets.values()) {
            t.idle.removeIf(c -> {
                boolean drop = !usable(c, now);
                if (drop) {
                    c.close();
                }
                return drop;
            });
        }
    }
}
