package loadbalancer.proxy.discovery;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import loadbalancer.decision.Endpoint;
import loadbalancer.decision.EndpointListType;
import loadbalancer.proxy.eventloop.FaultIsolation;
import loadbalancer.proxy.eventloop.LoadBalancerExecutor;
import loadbalancer.proxy.eventloop.MonotonicClock;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import loadbalancer.proxy.memory.MessageMemory;
import loadbalancer.proxy.observability.SidecarLog;
import loadbalancer.proxy.protocol.EndpointList;

/**
 * Watches discovery by consecutive calls. The protocol expects the sidecar to know a change even if no call was open
 * when the change happened. Therefore a call waits for a change only if the one before it has succeeded. Each list is
 * passed to the listener and then to the load balancer. The list of the configuration is withheld from both until
 * {@link EndpointListFreshness} permits its use. After a failed call, the known list stays in use. With
 * {@link DiscoveryMode#PUSHED}, the watch repeats the call after the pause of its {@link ExponentialBackoff}, which is
 * 0 after the first failure. With {@link DiscoveryMode#POLLED}, the load balancer is notified of the failure and
 * decides when to poll again.
 *
 * <p>All methods run on the event loop that owns the watch.
 */
public final class DiscoveryWatch {
    /**
     * The initial configuration of a watch.
     *
     * @param initialList the full endpoint list of the configuration, with start times of the monotonic clock
     */
    public record Options(
            InetSocketAddress address, EndpointList initialList, DiscoveryMode mode, WatchTimeouts timeouts) {}

    /**
     * The minimum time from the start of a successful call to the start of the next call, unless the load balancer
     * polls or the address changes earlier. It prevents continuous calls while discovery answers each call at once. The
     * protocol allows a pause of up to 200 ms.
     */
    private static final long MIN_CALL_INTERVAL_MILLIS = 50;

    private static final long INITIAL_BACKOFF_MICROS = 25_000;
    /** Short compared with the time for which draining endpoints continue to serve requests. */
    private static final long MAX_BACKOFF_MICROS = 100_000;

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final LoadBalancerExecutor loadBalancerExecutor;
    private final EndpointStartTimes startTimes;
    private final EndpointListListener listener;
    private final WatchTimeouts timeouts;
    private final ExponentialBackoff backoff;
    private final EndpointList initialList;
    private final EndpointListCursor cursor;
    private final EndpointListFreshness freshness = new EndpointListFreshness();
    private final DiscoveryClient client;
    private final DiscoveryLog log = new DiscoveryLog();
    private InetSocketAddress address;
    private DiscoveryMode mode;
    /**
     * Whether the load balancer has polled and must be notified of the next response, even if the list has not changed.
     */
    private boolean pollPending;

    private boolean stopped;
    private long callStartedMicros;

    /**
     * Creates a watch that makes no call before {@link #start} or {@link #poll} is called.
     *
     * @param eventLoop the event loop on which all methods of this object are called
     * @param startTimes converts the start times in each list before the list is passed on
     * @param messageMemory accounts for the lists that are being received
     * @param listener receives each list before the load balancer does
     * @param backoff determines the pauses after failed calls, see {@link #defaultBackoff}
     */
    public DiscoveryWatch(
            ReadTrackingEventLoop eventLoop,
            LoadBalancerExecutor loadBalancerExecutor,
            EndpointStartTimes startTimes,
            MessageMemory messageMemory,
            EndpointListListener listener,
            Options options,
            ExponentialBackoff backoff) {
        loop = eventLoop.nettyEventLoop();
        clock = eventLoop.clock();
        this.loadBalancerExecutor = loadBalancerExecutor;
        this.startTimes = startTimes;
        this.listener = listener;
        this.backoff = backoff;
        address = options.address();
        mode = options.mode();
        timeouts = options.timeouts();
        initialList = options.initialList();
        cursor = new EndpointListCursor(initialList.generation());
        client = new DiscoveryClient(eventLoop, messageMemory, new CallListener());
    }

    /** Creates a backoff with random jitter, for use by one watch. */
    public static ExponentialBackoff defaultBackoff() {
        return new ExponentialBackoff(INITIAL_BACKOFF_MICROS, MAX_BACKOFF_MICROS, bound -> ThreadLocalRandom.current()
                .nextLong(bound));
    }

    /**
     * Starts the wait for the first list, and the watch if its mode is {@link DiscoveryMode#PUSHED}. Otherwise the
     * first {@link #poll} starts the watch.
     */
    public void start() {
        loop.schedule(this::endWaitForFirstList, timeouts.firstListTimeoutMillis(), TimeUnit.MILLISECONDS);
        pollIfPushed();
    }

    private void pollIfPushed() {
        if (mode == DiscoveryMode.PUSHED) {
            poll();
        }
    }

    /** Returns whether requests may be sent by the known list. */
    public boolean hasUsableList() {
        return freshness.isUsable();
    }

    /**
     * Returns where the endpoint list in use comes from and how old it is, as keys and values for the log with a
     * leading space.
     */
    public String describeList() {
        return freshness.describe(clock.nowMicros());
    }

    /** Starts a call. If one is already in flight, its response also serves as the response to this poll. */
    public void poll() {
        pollPending = mode == DiscoveryMode.POLLED;
        startCallIfIdle();
    }

    /**
     * Watches discovery at {@code newAddress} from now on, and fetches a full snapshot from there first. Calls to the
     * previous address are cancelled, except those for a full snapshot, whose response is still applied if it arrives
     * before one from the new address. Neither the cancelled calls nor failures at the previous address count for the
     * backoff. Has no effect if the address is unchanged.
     */
    public void changeAddress(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            SidecarLog.info("discovery_address_unchanged address=" + address);
            return;
        }
        SidecarLog.info("discovery_address_changed address=" + newAddress);
        address = newAddress;
        backoff.reset();
        cursor.requireFullSnapshot();
        client.changeAddress();
        startCallIfIdle();
    }

    /**
     * Changes the mode. If the load balancer no longer polls, the watch goes on at once with a call that a poll would
     * have started.
     */
    public void changeMode(DiscoveryMode newMode) {
        if (newMode != mode) {
            mode = newMode;
            SidecarLog.info("discovery_mode_changed mode=" + newMode);
            pollIfPushed();
        }
    }

    /** Stops the watch permanently. */
    public void stop() {
        stopped = true;
        client.cancel();
    }

    private void startCallIfIdle() {
        if (stopped || client.hasCallInFlight()) {
            return;
        }
        callStartedMicros = clock.nowMicros();
        client.fetch(address, cursor.nextRequestTarget(timeouts.longPollWaitMillis()), nextTimeoutMillis());
    }

    private long nextTimeoutMillis() {
        return cursor.nextCallIsLongPoll()
                ? timeouts.longPollTimeoutMillis()
                : timeouts.immediateTimeoutMillis(backoff.consecutiveFailures());
    }

    private void applyList(EndpointList received) {
        recordSuccess();
        cursor.advanceTo(received);
        passOn(received);
        scheduleNextCall();
    }

    /** Applies a full snapshot, but not its generation, which the new address may count differently. */
    private void applyListOfPreviousAddress(EndpointList received) {
        if (received.fullSnapshot()) {
            passOn(received);
        }
    }

    /** Passes a list from discovery on. Whatever fails here, the watch has to go on. */
    private void passOn(EndpointList received) {
        FaultIsolation.run("endpoint_list", () -> confirmAndPass(startTimes.toMonotonic(received)));
    }

    /** Confirms the known list and passes the received one on, the first one together with the initial list. */
    private void confirmAndPass(EndpointList list) {
        log.listApplied(clock.nowMicros(), list);
        EndpointList passed = freshness.isUsable() ? list : initialList.updatedBy(list);
        freshness.confirm(clock.nowMicros());
        listener.onEndpointList(passed);
        notifyLoadBalancer(passed);
    }

    /** Passes the initial list on if discovery has sent none until now, as if discovery were down. */
    private void endWaitForFirstList() {
        if (stopped || freshness.isUsable()) {
            return;
        }
        log.waitForFirstListEnded(timeouts.firstListTimeoutMillis(), backoff.consecutiveFailures(), initialList);
        freshness.waitEnded();
        FaultIsolation.run("initial_endpoint_list", () -> {
            listener.onEndpointList(initialList);
            submit(EndpointListType.CACHED, initialList);
        });
    }

    private void recordSuccess() {
        if (backoff.consecutiveFailures() > 0) {
            log.recovered(backoff.consecutiveFailures());
            backoff.reset();
        }
    }

    /** Notifies the load balancer of a list, unless the list is a delta without changes and no poll is pending. */
    private void notifyLoadBalancer(EndpointList list) {
        if (!pollPending && !list.fullSnapshot() && list.entries().isEmpty()) {
            return;
        }
        pollPending = false;
        EndpointListType type = list.fullSnapshot() ? EndpointListType.FULL : EndpointListType.DELTA;
        submit(type, list);
    }

    private void submit(EndpointListType type, EndpointList list) {
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
        cursor.recordFailedCall(failure);
        long pauseMicros = backoff.recordFailure();
        log.callFailed(clock.nowMicros(), failure, detail, backoff.consecutiveFailures());
        if (mode == DiscoveryMode.PUSHED) {
            schedulePoll(pauseMicros);
            return;
        }
        pollPending = false;
        // The load balancer decides when to poll again. If it throws an exception instead, the watch schedules a poll.
        loadBalancerExecutor.submit(
                "endpoint_list_failed",
                loadBalancer -> loadBalancer.onEndpointList(clock.nowMicros(), EndpointListType.FAILED, List.of()),
                () -> schedulePoll(pauseMicros));
    }

    private void schedulePoll(long pauseMicros) {
        loop.schedule(this::poll, pauseMicros, TimeUnit.MICROSECONDS);
    }

    private final class CallListener implements DiscoveryClient.Listener {
        @Override
        public void onResponse(EndpointList list, boolean fromPreviousAddress) {
            if (fromPreviousAddress) {
                applyListOfPreviousAddress(list);
                return;
            }
            if (cursor.accepts(list)) {
                applyList(list);
                return;
            }
            client.closeIdleConnection();
            handleFailure(
                    CallFailure.MALFORMED_LIST,
                    "error=\"the delta can't be applied to the known list\" " + DiscoveryLog.describe(list)
                            + " known_generation=" + cursor.generation());
        }

        @Override
        public void onFailure(CallFailure failure, String detail) {
            handleFailure(failure, detail);
        }
    }
}
