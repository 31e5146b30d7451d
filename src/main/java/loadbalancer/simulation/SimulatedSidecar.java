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

/**
 * A sidecar of a simulated fleet: a real decision module whose attempts, gossip and timers are carried out by the
 * models of the fleet. Cancellations, health checks, polls of the endpoint list and closing of connections are ignored.
 */
final class SimulatedSidecar extends NoOpActions {
    private static final Pattern FLEET_RATE = Pattern.compile("^estimates .*?\\bfleet_rate_per_second=(\\d+)");

    private static final double NO_ESTIMATE = -1;

    private final SimulatedFleet fleet;
    private final int sidecarIndex;
    /** Number of attempts so far of each request in progress, by request id. */
    private final Map<String, Integer> attemptCounts = new HashMap<>();

    private LoadBalancingPolicy policy;
    /** Number of the current process; timers and responses of an earlier process are ignored. */
    private int processNumber;

    private long requests;
    private double estimatedFleetRatePerSecond = NO_ESTIMATE;

    SimulatedSidecar(SimulatedFleet fleet, int sidecarIndex) {
        this.fleet = fleet;
        this.sidecarIndex = sidecarIndex;
    }

    /** Starts a new process with this endpoint list and without any state of an earlier process. */
    void start(List<Endpoint> endpointList) {
        processNumber++;
        attemptCounts.clear();
        estimatedFleetRatePerSecond = NO_ESTIMATE;
        long seed = fleet.parameters().seed() * 1_000_003 + sidecarIndex * 31L + processNumber;
        policy = new LoadBalancingPolicy(fleet.parameters().settings(sidecarIndex), seed, fleet.nowMicros(), this);
        policy.onEndpointList(fleet.nowMicros(), EndpointListType.FULL, endpointList);
    }

    void receiveEndpointChange(Endpoint entry) {
        policy.onEndpointList(fleet.nowMicros(), EndpointListType.DELTA, List.of(entry));
    }

    void receiveGossip(int senderIndex, byte[] message) {
        policy.onGossip(fleet.nowMicros(), senderIndex, message);
    }

    /** Reports a new client request of this class to the decision module. */
    void receiveRequest(String requestClass) {
        String id = sidecarIndex + "-" + processNumber + "-" + requests++;
        attemptCounts.put(id, 0);
        policy.onRequest(
                fleet.nowMicros(),
                new Request(
                        id,
                        Request.NO_ROUTING_KEY,
                        false,
                        false,
                        0,
                        FleetParameters.DEADLINE_MICROS,
                        null,
                        requestClass));
    }

    /** Schedules the action to run after the delay, unless the current process has ended by then. */
    private void scheduleInProcess(long delayMicros, Runnable action) {
        int schedulingProcess = processNumber;
        fleet.schedule(delayMicros, () -> {
            if (processNumber == schedulingProcess) {
                action.run();
            }
        });
    }

    @Override
    public void sendAttempt(String requestId, String endpointId, long deadlineMicros) {
        int attempt = attemptCounts.merge(requestId, 1, Integer::sum) - 1;
        long sentMicros = fleet.nowMicros();
        long responseMicros = fleet.forward(endpointId);
        boolean timedOut = responseMicros > deadlineMicros;
        long latencyMicros = (timedOut ? deadlineMicros : responseMicros) - sentMicros;
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
    public void sendGossip(int receiverIndex, byte[] message) {
        fleet.sendGossip(sidecarIndex, receiverIndex, message);
    }

    @Override
    public void startTimer(String timerName, long delayMicros) {
        scheduleInProcess(delayMicros, () -> policy.onTimer(fleet.nowMicros(), timerName));
    }

    /** Reads the estimate of the fleet's request rate from the line that the decision module logs regularly. */
    @Override
    public void log(String text) {
        Matcher rate = FLEET_RATE.matcher(text);
        if (rate.find()) {
            estimatedFleetRatePerSecond = Double.parseDouble(rate.group(1));
        }
    }

    /**
     * Returns the decision module's latest estimate of the fleet's requests per second; negative if there is none yet.
     */
    double estimatedFleetRatePerSecond() {
        return estimatedFleetRatePerSecond;
    }
}
