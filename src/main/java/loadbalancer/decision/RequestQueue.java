package loadbalancer.decision;

import java.util.ArrayList;
import java.util.List;

/** The requests that wait for room, in the order in which they are served, and the timer that looks through them. */
final class RequestQueue {
    /** The queue is looked through this often, to give up in time those that find no room. */
    static final long SWEEP_MICROS = 5_000;
    /** A request starts no later than this many expected services before its answer ceases to be useful. */
    private static final double START_SLACK_RATIO = 1.5;

    private final PolicySettings settings;
    private final RoutingTable routing;
    private final LoadBalancerActions actions;
    private final List<PendingRequest> requests = new ArrayList<>();
    private boolean sweepTimerRunning;

    RequestQueue(PolicySettings settings, RoutingTable routing, LoadBalancerActions actions) {
        this.settings = settings;
        this.routing = routing;
        this.actions = actions;
    }

    /** The latest start from which an answer in time can be hoped for. */
    long lastStartMicros(PendingRequest request) {
        // A request whose pair is asked for its load does not wait yet.
        double slackMicros = request.sampling.isInProgress()
                ? 0
                : START_SLACK_RATIO * routing.bestSpeedFactor() * request.workMicros();
        long forUsefulAnswer = (long) (request.usefulUntilMicros() - slackMicros);
        long forSweep =
                request.deadlineMicros() - SWEEP_MICROS - 2 * settings.current().clockTickMicros();
        return Math.min(forSweep, forUsefulAnswer);
    }

    /** Adds a request behind those of the same or an earlier order. */
    void add(PendingRequest request) {
        request.setQueued(true);
        int index = requests.size();
        while (index > 0 && requests.get(index - 1).queueOrderMicros() > request.queueOrderMicros()) {
            index--;
        }
        requests.add(index, request);
        startSweepTimer();
    }

    /** Removes a request where it is queued. */
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

    /** Takes note that the sweep timer is due. */
    void onSweepTimer() {
        sweepTimerRunning = false;
    }

    /** Has the queue looked through later, where anything is in it. */
    void startSweepTimer() {
        if (!sweepTimerRunning && !requests.isEmpty()) {
            sweepTimerRunning = true;
            actions.startTimer(TimerNames.QUEUE_SWEEP, SWEEP_MICROS);
        }
    }
}
