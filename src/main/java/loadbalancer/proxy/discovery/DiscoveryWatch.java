package loadbalancer.proxy.discovery;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import loadbalancer.decision.Endpoint;
import loadbalancer.decision.EndpointListType;
import loadbalancer.proxy.eventloop.LoadBalancerExecutor;
import loadbalancer.proxy.eventloop.MonotonicClock;
import loadbalancer.proxy.observability.SidecarLog;
import loadbalancer.proxy.protocol.EndpointList;

/**
 * Watches discovery: one call after the other, without a gap. By the protocol, a change counts as known to the sidecar
 * even if no call was open when it happened. So a call that fails is repeated at once, and the first call does not wait
 * for a change. Each list goes to the listener first and then to the load balancer. A failed call leaves the known list
 * in force; with {@link DiscoveryMode#POLLED} the load balancer is notified of the failure and decides when to poll
 * again.
 *
 * <p>All methods run on the event loop that owns the watch.
 */
public final class DiscoveryWatch {
    /** The configuration of a watch at the start. {@code generation} is that of the list known at that time. */
    public record Options(InetSocketAddress address, long generation, DiscoveryMode mode, WatchTimeouts timeouts) {}

    /**
     * The shortest time from the start of a successful call to the next call, so that a service that always answers at
     * once is not called continuously. The protocol allows a pause of up to 200 ms.
     */
    private static final long MIN_CALL_INTERVAL_MILLIS = 50;

    private static final long INITIAL_BACKOFF_MICROS = 25_000;
    /** Short compared with the time for which draining endpoints go on serving. */
    private static final long MAX_BACKOFF_MICROS = 100_000;

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final LoadBalancerExecutor loadBalancerExecutor;
    private final EndpointListListener listener;
    private final DiscoveryMode mode;
    private final WatchTimeouts timeouts;
    private final ExponentialBackoff backoff;
    private final EndpointListCursor cursor;
    private final DiscoveryClient client;
    private InetSocketAddress address;
    /**
     * Whether the load balancer has polled, so that it must be notified of the next response even if nothing changed.
     */
    private boolean pollPending;

    private boolean stopped;
    private long callStartedMicros;

    /**
     * Creates a watch that is idle until {@link #start} or {@link #poll}.
     *
     * @param loop owns this object; all of its methods are called there
     * @param listener gets each list before the load balancer does
     * @param backoff determines the pauses after failed calls
     */
    public DiscoveryWatch(
            EventLoop loop,
            MonotonicClock clock,
            LoadBalancerExecutor loadBalancerExecutor,
            EndpointListListener listener,
            Options options,
            ExponentialBackoff backoff) {
        this.loop = loop;
        this.clock = clock;
        this.loadBalancerExecutor = loadBalancerExecutor;
        this.listener = listener;
        this.backoff = backoff;
        address = options.address();
        mode = options.mode();
        timeouts = options.timeouts();
        cursor = new EndpointListCursor(options.generation());
        client = new DiscoveryClient(loop, new CallListener());
    }

    /** Creates the backoff of one watch, with random jitter. */
    public static ExponentialBackoff defaultBackoff() {
        return new ExponentialBackoff(INITIAL_BACKOFF_MICROS, MAX_BACKOFF_MICROS, bound -> ThreadLocalRandom.current()
                .nextLong(bound));
    }

    /** Starts the watch with {@link DiscoveryMode#PUSHED}; otherwise the first {@link #poll} starts it. */
    public void start() {
        if (mode == DiscoveryMode.PUSHED) {
            poll();
        }
    }

    /** Whether the first call has been answered or has failed, so that the list is as recent as possible. */
    public boolean hasSynced() {
        return cursor.callCompleted();
    }

    /** Starts a call. If one is already in flight, its response also answers this poll. */
    public void poll() {
        pollPending = mode == DiscoveryMode.POLLED;
        startCallIfIdle();
    }

    /**
     * Watches the service at {@code newAddress} from now on, beginning with a full snapshot. A call in flight to the
     * previous address is cancelled; this does not count as a failure, so no backoff follows.
     */
    public void moveTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            SidecarLog.info("discovery_address_unchanged address=" + address);
            return;
        }
        SidecarLog.info("discovery_address_changed address=" + newAddress);
        address = newAddress;
        cursor.serviceReplaced();
        client.cancel();
        startCallIfIdle();
    }

    /** Ends the watch for good. */
    public void stop() {
        stopped = true;
        client.cancel();
    }

    private void startCallIfIdle() {
        if (stopped || client.callInFlight()) {
            return;
        }
        callStartedMicros = clock.nowMicros();
        client.fetch(address, cursor.nextRequestTarget(timeouts.waitMillis()), nextTimeoutMillis());
    }

    private long nextTimeoutMillis() {
        return cursor.nextCallIsLongPoll()
                ? timeouts.longPollTimeoutMillis()
                : timeouts.immediateTimeoutMillis(backoff.failures());
    }

    private void accept(EndpointList list) {
        recordSuccess();
        cursor.advanceTo(list);
        listener.onEndpointList(list);
        notifyLoadBalancer(list);
        scheduleNextCall();
    }

    private void recordSuccess() {
        if (backoff.failures() > 0) {
            SidecarLog.info("discovery_recovered failed_calls=" + backoff.failures());
            backoff.reset();
        }
    }

    /** Notifies the load balancer of a list, except of a delta without changes that it has not polled for. */
    private void notifyLoadBalancer(EndpointList list) {
        if (!pollPending && !list.fullSnapshot() && list.entries().isEmpty()) {
            return;
        }
        pollPending = false;
        EndpointListType type = list.fullSnapshot() ? EndpointListType.FULL : EndpointListType.DELTA;
        List<Endpoint> endpoints = list.endpoints();
        loadBalancerExecutor.submit(
                "endpoint_list",
                loadBalancer -> loadBalancer.onEndpointList(clock.nowMicros(), type, endpoints),
                () -> {});
    }

    private void scheduleNextCall() {
        long elapsedMillis = (clock.nowMicros() - callStartedMicros) / 1000;
        long pauseMillis = MIN_CALL_INTERVAL_MILLIS - elapsedMillis;
        if (pauseMillis <= 0) {
            startCallIfIdle();
        } else {
            loop.schedule(this::startCallIfIdle, pauseMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void handleFailure(CallFailure failure, String detail) {
        cursor.callFailed(failure);
        long pauseMicros = backoff.recordFailure();
        if (backoff.failures() == 1) {
            SidecarLog.info(
                    "discovery_call_failed reason=" + failure.logName() + (detail.isEmpty() ? "" : " " + detail));
        }
        if (mode == DiscoveryMode.PUSHED) {
            pollLater(pauseMicros);
            return;
        }
        pollPending = false;
        // The load balancer decides when to poll again. If it throws instead, the watch has to go on by itself.
        loadBalancerExecutor.submit(
                "endpoint_list_failed",
                loadBalancer -> loadBalancer.onEndpointList(clock.nowMicros(), EndpointListType.FAILED, List.of()),
                () -> pollLater(pauseMicros));
    }

    private void pollLater(long pauseMicros) {
        loop.schedule(this::poll, pauseMicros, TimeUnit.MICROSECONDS);
    }

    private final class CallListener implements DiscoveryClient.Listener {
        @Override
        public void onResponse(EndpointList list) {
            if (cursor.accepts(list)) {
                accept(list);
                return;
            }
            client.closeConnection();
            String error = list.fullSnapshot()
                    ? "the full snapshot is empty"
                    : "a delta to generation " + list.generation() + " does not follow the known list";
            handleFailure(CallFailure.MALFORMED_LIST, "error=" + error);
        }

        @Override
        public void onFailure(CallFailure failure, String detail) {
            handleFailure(failure, detail);
        }
    }
}
