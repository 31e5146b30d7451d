package loadbalancer.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import loadbalancer.decision.GossipMessage.MachineTypeSample;
import loadbalancer.decision.RecordedAction.Cancellation;
import loadbalancer.decision.RecordedAction.ConnectionClose;
import loadbalancer.decision.RecordedAction.EndpointPoll;
import loadbalancer.decision.RecordedAction.Failure;
import loadbalancer.decision.RecordedAction.Gossip;
import loadbalancer.decision.RecordedAction.HealthCheck;
import loadbalancer.decision.RecordedAction.LogLine;
import loadbalancer.decision.RecordedAction.Rejection;
import loadbalancer.decision.RecordedAction.SentAttempt;
import loadbalancer.decision.RecordedAction.TimerStart;
import loadbalancer.settings.DeduplicationScope;
import loadbalancer.settings.EndpointRules;
import loadbalancer.settings.Idempotency;
import loadbalancer.settings.LoadBalancerSettings;
import loadbalancer.settings.LoadReporting;
import loadbalancer.settings.RequestClass;
import loadbalancer.settings.RequestLimits;
import loadbalancer.settings.Tenant;
import loadbalancer.settings.UsagePrices;

/**
 * A load balancing policy under test, with a clock that the test advances and a record of the actions of the policy.
 *
 * <p>The fields are settings, whose defaults suit most tests. A test first changes fields, then calls {@link #start},
 * and then the methods that report events to the policy. Tests access the internal state of the policy only through the
 * methods at the end of this class.
 */
final class PolicyFixture implements LoadBalancerActions {
    /** Starts a sweep of the request queue. */
    static final String SWEEP_TIMER = TimerNames.QUEUE_SWEEP;
    /** Sends gossip. */
    static final String GOSSIP_TIMER = TimerNames.GOSSIP;
    /** Polls discovery again after a failed call. */
    static final String DISCOVERY_TIMER = TimerNames.DISCOVERY_RETRY;
    /** Prefix, followed by a request id: an attempt of the request is overdue. */
    static final String OVERDUE_TIMER_PREFIX = TimerNames.ATTEMPT_OVERDUE;
    /** Prefix, followed by a request id: the health check for its overdue attempt should have been answered by now. */
    static final String HEALTH_CHECK_DUE_TIMER_PREFIX = TimerNames.HEALTH_CHECK_DUE;
    /** Target of a gossip message that is sent to all sidecars. */
    static final int ALL_SIDECARS = -1;

    private static final String MACHINE_TYPE = "k";
    private static final String REQUEST_CLASS = "c";
    private static final long DEADLINE_MICROS = 800_000;

    Idempotency idempotency = Idempotency.IDEMPOTENT;
    DeduplicationScope deduplicationScope = DeduplicationScope.ALL;
    long deduplicationWindowMicros = 4_000_000;
    long latencyObjectiveMicros = 300_000;
    boolean streaming;
    int maxAttempts = 4;
    boolean hedging;
    boolean gossip = true;
    boolean healthChecks;
    long closeOnDrainMicros;
    int sidecarIndex;
    int sidecarCount = 2;
    double connectionPrice;
    double crossZonePrice;
    boolean polledDiscovery;
    long pollIntervalMicros = 10_000_000;
    long overloadWindowMicros = 1_000_000;
    long seed = 7;
    LoadReporting loadReporting = LoadReporting.INLINE;
    List<Tenant> tenants = List.of();

    long nowMicros = 1_000_000_000L;

    private final List<RecordedAction> actions = new ArrayList<>();
    private LoadBalancingPolicy policy;
    private LoadBalancerSettings settings;
    private GossipMessage lastGossip;

    // ---- settings and events --------------------------------------------------------------------

    /** Creates the policy from the settings in the fields. */
    PolicyFixture start() {
        RequestClass requestClass = new RequestClass(
                REQUEST_CLASS,
                idempotency,
                deduplicationScope,
                deduplicationWindowMicros,
                latencyObjectiveMicros,
                0,
                DEADLINE_MICROS,
                3,
                0,
                streaming);
        settings = new LoadBalancerSettings(
                sidecarIndex,
                sidecarCount,
                "za",
                List.of("za", "zb", "zc"),
                List.of(MACHINE_TYPE),
                List.of(requestClass),
                tenants,
                new RequestLimits(
                        maxAttempts, hedging, true, healthChecks, gossip, true, 1_000_000, 15_000_000, 250_000, 0),
                new EndpointRules(
                        500_000,
                        0.13,
                        24_000_000,
                        3,
                        overloadWindowMicros,
                        pollIntervalMicros,
                        5_000,
                        closeOnDrainMicros),
                loadReporting,
                polledDiscovery,
                false,
                0.1,
                new UsagePrices(crossZonePrice, 0.01, 0.002, connectionPrice, connectionPrice),
                1000);
        policy = new LoadBalancingPolicy(settings, seed, nowMicros, this);
        return this;
    }

    /** Starts the policy of one of 14 sidecars, which all have little traffic, with the endpoints a and b. */
    static PolicyFixture oneOfFourteenSidecars() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.sidecarCount = 14;
        fixture.loadReporting = LoadReporting.NONE;
        return fixture.start().receiveFullSnapshot(endpoint("a", "za", 1), endpoint("b", "zb", 2));
    }

    /** Returns a ready endpoint that started long ago. */
    static Endpoint endpoint(String id, String zone, int cell) {
        return new Endpoint(id, zone, MACHINE_TYPE, cell, 0, 1, EndpointState.READY);
    }

    static Endpoint withState(Endpoint endpoint, EndpointState state) {
        return new Endpoint(
                endpoint.id(),
                endpoint.zone(),
                endpoint.machineType(),
                endpoint.cell(),
                endpoint.startedMicros(),
                1,
                state);
    }

    LoadBalancerSettings settings() {
        return settings;
    }

    PolicyFixture applySettings(LoadBalancerSettings newSettings) {
        policy.onSettings(nowMicros, newSettings);
        return this;
    }

    /** Notifies the policy of a full snapshot of the endpoint list. */
    PolicyFixture receiveFullSnapshot(Endpoint... endpoints) {
        return receiveEndpointList(EndpointListType.FULL, endpoints);
    }

    PolicyFixture receiveEndpointList(EndpointListType type, Endpoint... endpoints) {
        policy.onEndpointList(nowMicros, type, List.of(endpoints));
        return this;
    }

    PolicyFixture request(String requestId) {
        return request(requestId, DEADLINE_MICROS);
    }

    PolicyFixture request(String requestId, long remainingMicros) {
        return request(requestId, 0, remainingMicros);
    }

    PolicyFixture request(String requestId, double costHintMicros, long remainingMicros) {
        policy.onRequest(
                nowMicros,
                new Request(requestId, -1, false, false, costHintMicros, remainingMicros, null, REQUEST_CLASS));
        return this;
    }

    PolicyFixture outcome(
            String requestId, int attemptNumber, String endpointId, AttemptOutcome outcome, long latencyMicros) {
        return outcome(new AttemptResult(
                requestId, attemptNumber, endpointId, outcome, latencyMicros, outcome == AttemptOutcome.OK, null));
    }

    PolicyFixture outcome(AttemptResult result) {
        policy.onAttemptOutcome(nowMicros, result);
        return this;
    }

    PolicyFixture streamStart(String requestId, int attemptNumber, String endpointId, long latencyMicros) {
        policy.onStreamStart(nowMicros, requestId, attemptNumber, endpointId, latencyMicros);
        return this;
    }

    /** Notifies the policy that the client has disconnected or that the request's deadline has passed. */
    PolicyFixture expire(String requestId) {
        policy.onRequestExpired(nowMicros, requestId);
        return this;
    }

    /**
     * Notifies the policy of the reply to a health check, after a latency of 1 ms.
     *
     * @param loadReport null if the reply contains no load report
     */
    PolicyFixture healthCheckReply(String endpointId, LoadReport loadReport) {
        policy.onHealthCheck(nowMicros, endpointId, AttemptOutcome.OK, 1_000, loadReport);
        return this;
    }

    PolicyFixture receiveGossip(int sender, byte[] message) {
        policy.onGossip(nowMicros, sender, message);
        return this;
    }

    /** Passes gossip of one sidecar to the policy: its rate of requests and its number of requests in flight. */
    PolicyFixture receiveGossip(int sender, double requestsPerSecond, double inFlight) {
        return receiveGossip(sender, encodeGossip(requestsPerSecond, inFlight, new MachineTypeSample(0, 0, 0)));
    }

    /** Passes the same gossip of each of the sidecars 1 to 13 to the policy. */
    PolicyFixture receiveGossipFromThirteenSidecars(double requestsPerSecond, double inFlight) {
        for (int sender = 1; sender < 14; sender++) {
            receiveGossip(sender, requestsPerSecond, inFlight);
        }
        return this;
    }

    /** Passes a sidecar's estimates for the machine type, learned from {@code responses} responses, to the policy. */
    PolicyFixture receiveMachineTypeGossip(int sender, double speedFactor, double cores, int responses) {
        return receiveGossip(sender, encodeGossip(0, 0, new MachineTypeSample(speedFactor, cores, responses)));
    }

    private static byte[] encodeGossip(double requestsPerSecond, double inFlight, MachineTypeSample sample) {
        return new GossipMessage(0, requestsPerSecond, inFlight, List.of(sample), 0).encode();
    }

    PolicyFixture advanceMicros(long micros) {
        nowMicros += micros;
        return this;
    }

    /** Fires the timer as the host of the policy does. */
    PolicyFixture fireTimer(String timerName) {
        policy.onTimer(nowMicros, timerName);
        return this;
    }

    // ---- actions of the policy ------------------------------------------------------------------

    List<RecordedAction> actions() {
        return List.copyOf(actions);
    }

    void clearActions() {
        actions.clear();
    }

    private <T extends RecordedAction> Stream<T> actions(Class<T> type) {
        return actions.stream().filter(type::isInstance).map(type::cast);
    }

    List<SentAttempt> sentAttempts() {
        return actions(SentAttempt.class).toList();
    }

    private List<SentAttempt> sentAttempts(String requestId) {
        return actions(SentAttempt.class)
                .filter(attempt -> attempt.requestId().equals(requestId))
                .toList();
    }

    int attemptCount() {
        return sentAttempts().size();
    }

    int attemptCount(String requestId) {
        return sentAttempts(requestId).size();
    }

    /**
     * Returns the id of the endpoint to which an attempt of the request was sent, or null if there is no such attempt.
     *
     * @param attemptNumber 0 for the first attempt
     */
    String endpointOf(String requestId, int attemptNumber) {
        List<SentAttempt> attempts = sentAttempts(requestId);
        return attemptNumber < attempts.size() ? attempts.get(attemptNumber).endpointId() : null;
    }

    List<String> rejectedRequests() {
        return actions(Rejection.class).map(Rejection::requestId).toList();
    }

    long rejectionCount(String requestId) {
        return rejectedRequests().stream().filter(requestId::equals).count();
    }

    List<String> failedRequests() {
        return actions(Failure.class).map(Failure::requestId).toList();
    }

    long failureCount(String requestId) {
        return failedRequests().stream().filter(requestId::equals).count();
    }

    /** Returns the id of the endpoint of each started health check. */
    List<String> checkedEndpoints() {
        return actions(HealthCheck.class).map(HealthCheck::endpointId).toList();
    }

    /** Returns the id of the endpoint of each action that closed idle connections. */
    List<String> endpointsWithClosedConnections() {
        return actions(ConnectionClose.class).map(ConnectionClose::endpointId).toList();
    }

    long connectionCloseCount(String endpointId) {
        return endpointsWithClosedConnections().stream()
                .filter(endpointId::equals)
                .count();
    }

    long discoveryPollCount() {
        return actions(EndpointPoll.class).count();
    }

    /** Returns the target of each sent gossip message: a sidecar's index or {@link #ALL_SIDECARS}. */
    List<Integer> gossipTargets() {
        return actions(Gossip.class).map(Gossip::sidecarIndex).toList();
    }

    /** Returns the rate of requests in the last gossip message; fails if none was sent or it was malformed. */
    double lastGossipRatePerSecond() {
        if (lastGossip == null) {
            throw new AssertionError("no well-formed gossip was sent");
        }
        return lastGossip.ratePerSecond();
    }

    List<Long> timerDelaysMicros(String timerName) {
        return actions(TimerStart.class)
                .filter(timer -> timer.timerName().equals(timerName))
                .map(TimerStart::delayMicros)
                .toList();
    }

    // ---- internal state of the policy -----------------------------------------------------------

    /** Returns whether an attempt of the request, which is queued or in flight, may be sent to the endpoint now. */
    boolean maySend(String requestId, String endpointId) {
        return policy.eligibility.maySend(
                nowMicros, policy.requests.find(requestId), policy.endpoints.find(endpointId));
    }

    /** Returns the number of endpoints in the registry, including removed ones that are not discarded yet. */
    int endpointCount() {
        return policy.endpoints.size();
    }

    /** Sets the routing weight, which remains until the routing table is solved again. */
    void setRoutingWeight(String endpointId, double weight) {
        policy.endpoints.find(endpointId).setRoutingWeight(weight);
    }

    double speedFactor(String endpointId) {
        return policy.endpoints.find(endpointId).speedFactor();
    }

    /** Returns the estimated speed factor of the machine type of all endpoints from {@link #endpoint}. */
    double speedFactorOfMachineType() {
        return policy.endpoints.machineType(MACHINE_TYPE).speedFactor();
    }

    /** Returns the estimated number of cores of the machine type of all endpoints from {@link #endpoint}. */
    double coresOfMachineType() {
        return policy.endpoints.machineType(MACHINE_TYPE).cores();
    }

    // ---- LoadBalancerActions --------------------------------------------------------------------

    @Override
    public void sendAttempt(String requestId, String endpointId, long deadlineMicros) {
        actions.add(new SentAttempt(requestId, endpointId, deadlineMicros));
    }

    @Override
    public void reject(String requestId, long retryAfterMicros) {
        actions.add(new Rejection(requestId));
    }

    @Override
    public void fail(String requestId) {
        actions.add(new Failure(requestId));
    }

    @Override
    public void cancelAttempt(String requestId, int attemptNumber) {
        actions.add(new Cancellation(requestId, attemptNumber));
    }

    @Override
    public void checkHealth(String endpointId) {
        actions.add(new HealthCheck(endpointId));
    }

    @Override
    public void pollEndpoints() {
        actions.add(new EndpointPoll());
    }

    @Override
    public void sendGossip(int target, byte[] message) {
        actions.add(new Gossip(target, message.length));
        lastGossip = GossipMessage.decode(message, 1);
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        actions.add(new ConnectionClose(endpointId));
    }

    @Override
    public void startTimer(String timerName, long delayMicros) {
        actions.add(new TimerStart(timerName, delayMicros));
    }

    @Override
    public void log(String text) {
        actions.add(new LogLine(text));
    }
}
