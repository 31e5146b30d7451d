package loadbalancer.decision;

import java.util.ArrayList;
import java.util.List;

/** The requests that wait for an endpoint with room, in the order of service, and the timer that checks them. */
final class RequestQueue {
    /** The queue is checked this often, to give up in time the requests that find no room. */
    static final long SWEEP_MICROS = 5_000;
    /** Time reserved for the attempt of a queued request, in multiples of its service time at the fastest endpoint. */
    private static final double START_SLACK_RATIO = 1.5;

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

    /** The latest time to send the request for which a useful response can be expected; it is given up from then on. */
    long lastStartMicros(PendingRequest request) {
        // No time is reserved while the request waits for the load reports of its pair.
        double slackMicros = request.sampling.isInProgress()
                ? 0
                : START_SLACK_RATIO * routingTable.bestSpeedFactor() * request.workMicros();
        long lastForUsefulResponse = (long) (request.usefulUntilMicros() - slackMicros);
        long lastForSweep =
                request.deadlineMicros() - SWEEP_MICROS - 2 * settings.current().clockTickMicros();
        return Math.min(lastForSweep, lastForUsefulResponse);
    }

    /** Inserts a request by its place in the order of service, behind those of the same place. */
    void add(PendingRequest request) {
        request.setQueued(true);
        int index = requests.size();
        while (index > 0 && requests.get(index - 1).queueOrderMicros() > request.queueOrderMicros()) {
            index--;
        }
        requests.add(index, request);
        startSweepTimer();
    }

    /** Removes a request if it is queued. */
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

    /** Starts the sweep timer if requests are queued and it is not running. */
    void startSweepTimer() {
        if (!sweepTimerRunning && !requests.isEmpty()) {
            sweepTimerRunning = true;
            actions.startTimer(TimerNames.QUEUE_SWEEP, SWEEP_MICROS);
        }
    }
}
