package loadbalancer.decision;

import java.util.SplittableRandom;

/**
 * Decides when discovery is polled for the endpoint list: at the start, and again after each failed call, with a
 * jittered, exponentially growing delay, until a list arrives. Does nothing where lists are pushed.
 */
final class DiscoveryPoller {
    private static final long FIRST_DELAY_MICROS = 500_000;
    /**
     * Bound on the delay before its jitter of up to half. The first successful call has to come within 6 s after
     * discovery recovers, and a last call that times out takes 2.5 s of them.
     */
    private static final long MAX_DELAY_MICROS = 1_000_000;

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

    /** Polls for the first time, where lists are polled. */
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

    /** Handles the result of a call. A cached list is not the result of a call and changes nothing. */
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
        // Jittered, so that sidecars that failed together do not call together again.
        long jitteredMicros = delayMicros / 2 + random.nextLong(delayMicros);
        actions.startTimer(TimerNames.DISCOVERY_RETRY, jitteredMicros);
        long maxDelayMicros = Math.min(MAX_DELAY_MICROS, settings.rules().pollIntervalMicros() / 2 + 1);
        delayMicros = Math.min(delayMicros * 2, maxDelayMicros);
    }
}
