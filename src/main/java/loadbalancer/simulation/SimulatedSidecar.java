package loadbalancer.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import loadbalancer.decision.AttemptOutcome;
import loadbalancer.decision.AttemptResult;
import loadbalancer.decision.Endpoint;
import loadbalancer.decision.EndpointListType;
import loadbalancer.decision.LoadBalancingPolicy;
import loadbalancer.decision.Request;

/** A sidecar of a simulated fleet: a real decision module whose actions go to the models of the fleet. */
final class SimulatedSidecar extends NoOpActions {
    private static final Pattern FLEET_RATE = Pattern.compile("^estimates .*?\\bfleet_rate_per_second=(\\d+)");

    private static final double NO_ESTIMATE = -1;

    private final SimulatedFleet fleet;
    private final int sidecarIndex;
    /** Attempts so far of the requests in progress, by request id. */
    private final Map<String, Integer> attemptCounts = new HashMap<>();

    private LoadBalancingPolicy policy;
    /** Number of the present process; timers and responses of an earlier one are dropped. */
    private int processNumber;

    private long requests;
    private double estimatedFleetRate = NO_ESTIMATE;

    SimulatedSidecar(SimulatedFleet fleet, int sidecarIndex) {
        this.fleet = fleet;
        this.sidecarIndex = sidecarIndex;
    }

    /** Starts a new process with this endpoint list; it keeps no state of an earlier process. */
    void start(List<Endpoint> endpointList) {
        processNumber++;
        attemptCounts.clear();
        estimatedFleetRate = NO_ESTIMATE;
        long seed = fleet.shape().seed() * 1_000_003 + sidecarIndex * 31L + processNumber;
        policy = new LoadBalancingPolicy(fleet.shape().settings(sidecarIndex), seed, fleet.nowMicros(), this);
        policy.onEndpointList(fleet.nowMicros(), EndpointListType.FULL, endpointList);
    }

    void endpointChanged(Endpoint entry) {
        policy.onEndpointList(fleet.nowMicros(), EndpointListType.DELTA, List.of(entry));
    }

    void gossipReceived(int sender, byte[] message) {
        policy.onGossip(fleet.nowMicros(), sender, message);
    }

    /** A client sends a request of this class. */
    void request(String requestClass) {
        String id = sidecarIndex + "-" + processNumber + "-" + requests++;
        attemptCounts.put(id, 0);
        policy.onRequest(
                fleet.nowMicros(),
                new Request(
                        id, Request.NO_ROUTING_KEY, false, false, 0, FleetShape.DEADLINE_MICROS, null, requestClass));
    }

    /** Runs the action as an event after the delay, unless the process has ended by then. */
    private void scheduleInProcess(long delayMicros, Runnable action) {
        int scheduledBy = processNumber;
        fleet.schedule(delayMicros, () -> {
            if (processNumber == scheduledBy) {
                action.run();
            }
        });
    }

    @Override
    public void sendAttempt(String requestId, String endpointId, long deadlineMicros) {
        int attempt = attemptCounts.merge(requestId, 1, Integer::sum) - 1;
        long sentMicros = fleet.nowMicros();
        long answeredMicros = fleet.forward(endpointId);
        boolean timedOut = answeredMicros > deadlineMicros;
        long latencyMicros = (timedOut ? deadlineMicros : answeredMicros) - sentMicros;
        AttemptOutcome outcome = timedOut ? AttemptOutcome.TIMEOUT : AttemptOutcome.OK;
        AttemptResult result =
                new AttemptResult(requestId, attempt, endpointId, outcome, latencyMicros, !timedOut, null);
        scheduleInProcess(latencyMicros, () -> {
            if (!timedOut) {
                attemptCounts.remove(requestId);
                fleet.countServedRequest();
            }
            policy.onAttemptOutcome(fleet.nowMicros(), result);
        });
    }

    @Override
    public void reject(String requestId, long retryAfterMicros) {
        attemptCounts.remove(requestId);
    }

    @Override
    public void fail(String requestId) {
        attemptCounts.remove(requestId);
    }

    @Override
    public void sendGossip(int receiver, byte[] message) {
        fleet.sendGossip(sidecarIndex, receiver, message);
    }

    @Override
    public void startTimer(String timerName, long delayMicros) {
        scheduleInProcess(delayMicros, () -> policy.onTimer(fleet.nowMicros(), timerName));
    }

    /** Reads the module's estimate of the fleet's rate from the line that it logs regularly. */
    @Override
    public void log(String text) {
        Matcher rate = FLEET_RATE.matcher(text);
        if (rate.find()) {
            estimatedFleetRate = Double.parseDouble(rate.group(1));
        }
    }

    /** Requests a second of the whole fleet by the module's latest estimate; negative if there was none yet. */
    double estimatedFleetRate() {
        return estimatedFleetRate;
    }
}
