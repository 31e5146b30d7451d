package loadbalancer.decision;

import java.util.ArrayList;
import java.util.List;

/**
 * The requests that wait for an endpoint with spare capacity, sorted by {@link PendingRequest#queueOrderMicros}, and
 * the timer for the sweeps of this queue.
 */
final class RequestQueue {
    /**
     * Interval between two sweeps of the queue. A sweep rejects or fails requests that find no endpoint, before their
     * deadline.
     */
    static final long SWEEP_INTERVAL_MICROS = 5_000;
    /** Time reserved for the attempt of a queued request, as a multiple of its service time at the fastest endpoint. */
    private static final double RESERVED_TIME_RATIO = 1.5;

    private final PolicySettings settings;
    private final RoutingTable routingTable;
    private final LoadBalancerActions actions;
    private final List<PendingRequest> requests = new ArrayList<>();
    private boolean sweepTimerRunning;

    RequestQueue(PolicySettings settings, RoutingTable routingTable, LoadBalancerActions actions) {
        this.settings = settings;
        this.routingTable = routingTable;
        this.actions = actions;
    }

    /**
     * Returns the time until which the request may wait in the queue. From this time on, it is rejected or failed if it
     * finds no endpoint, because a response could no longer be expected while it is useful, or because the next sweep
     * might come after the deadline.
     */
    long mayWaitUntilMicros(PendingRequest request) {
        // No time is reserved while the request waits for the load reports of its two drawn endpoints.
        double reservedMicros = request.sampling.isInProgress()
                ? 0
                : RESERVED_TIME_RATIO * routingTable.bestSpeedFactor() * request.workMicros();
        long usefulResponseUntilMicros = (long) (request.usefulUntilMicros() - reservedMicros);
        long timelySweepUntilMicros = request.deadlineMicros()
                - SWEEP_INTERVAL_MICROS
                - 2 * settings.current().clockTickMicros();
        return Math.min(timelySweepUntilMicros, usefulResponseUntilMicros);
    }

    /**
     * Inserts a request in the order of {@link PendingRequest#queueOrderMicros}, behind requests with the same value,
     * and starts the sweep timer.
     */
    void add(PendingRequest request) {
        request.setQueued(true);
        int index = requests.size();
        while (index > 0 && requests.get(index - 1).queueOrderMicros() > request.queueOrderMicros()) {
            index--;
        }
        requests.add(index, request);
        startSweepTimer();
    }

    /** Removes the request if it is queued. */
    void remove(PendingRequest request) {
        if (request.isQueued()) {
            requests.remove(request);
            request.setQueued(false);
        }
    }

    void remove(int index) {
        requests.remove(index).setQueued(false);
    }

    PendingRequest get(int index) {
        return requests.get(index);
    }

    int size() {
        return requests.size();
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    /** Notes that the sweep timer has fired. */
    void onSweepTimer() {
        sweepTimerRunning = false;
    }

    /** Starts the sweep timer if it is not running and the queue is not empty. */
    void startSweepTimer() {
        if (!sweepTimerRunning && !requests.isEmpty()) {
            sweepTimerRunning = true;
            actions.startTimer(TimerNames.QUEUE_SWEEP, SWEEP_INTERVAL_MICROS);
        }
    }
}
