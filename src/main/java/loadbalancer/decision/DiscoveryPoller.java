package loadbalancer.decision;

import java.util.SplittableRandom;

/**
 * Decides when discovery is polled for the endpoint list: at the start, and again after each failed call, with
 * exponential backoff and jitter, until a list arrives. From then on, the host keeps the list up to date until it
 * reports a failed call. Does nothing if lists are pushed.
 */
final class DiscoveryPoller {
    private static final long FIRST_DELAY_MICROS = 500_000;
    /**
     * Upper limit of the delay before jitter, which lengthens or shortens it by up to half. The first successful call
     * must be made within 6 s after discovery recovers, and a preceding call that times out can take 2.5 s of that
     * time.
     */
    private static final long MAX_DELAY_MICROS = 1_000_000;

    /** Lower limit of the delay before jitter, also if the poll interval is shorter or not configured. */
    private static final long MIN_DELAY_MICROS = 200_000;

    private final PolicySettings settings;
    private final LoadBalancerActions actions;
    private final SplittableRandom random;
    private boolean listReceived;
    private boolean pollInProgress;
    private long delayMicros = FIRST_DELAY_MICROS;

    DiscoveryPoller(PolicySettings settings, LoadBalancerActions actions, SplittableRandom random) {
        this.settings = settings;
        this.actions = actions;
        this.random = random;
    }

    /** Polls for the first time, if lists are polled. */
    void start() {
        if (settings.current().polledDiscovery()) {
            poll();
        }
    }

    /** Polls unless a call is in progress or a list has arrived. */
    void poll() {
        if (!pollInProgress && !listReceived) {
            pollInProgress = true;
            actions.pollEndpoints();
        }
    }

    /** Handles the result of a call. Ignores a cached list, which is not the result of a call. */
    void onEndpointList(EndpointListType type) {
        if (!settings.current().polledDiscovery() || type == EndpointListType.CACHED) {
            return;
        }
        pollInProgress = false;
        listReceived = type != EndpointListType.FAILED;
        if (listReceived) {
            delayMicros = FIRST_DELAY_MICROS;
            return;
        }
        // The jitter spreads the calls of sidecars whose calls failed at the same time.
        long jitteredMicros = delayMicros / 2 + random.nextLong(delayMicros);
        actions.startTimer(TimerNames.DISCOVERY_RETRY, jitteredMicros);
        delayMicros = Math.min(delayMicros * 2, maxDelayMicros());
    }

    /** Returns the upper limit of the delay before jitter. With jitter, it is three quarters of the poll interval. */
    private long maxDelayMicros() {
        long pollIntervalMicros = settings.rules().pollIntervalMicros();
        if (pollIntervalMicros <= 0) {
            return MAX_DELAY_MICROS;
        }
        return Math.max(MIN_DELAY_MICROS, Math.min(MAX_DELAY_MICROS, pollIntervalMicros / 2));
    }
}
