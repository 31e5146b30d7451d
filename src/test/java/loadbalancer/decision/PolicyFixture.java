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
 * One policy under test with a clock that the test advances and a record of its actions.
 *
 * <p>Set the fields first, then call {@link #start}. The fields are settings with defaults that suit most tests. All
 * that tests see of the policy's internal state goes through the accessors at the end of this class.
 */
final class PolicyFixture implements LoadBalancerActions {
    /** Looks through the waiting requests. */
    static final String SWEEP_TIMER = TimerNames.QUEUE_SWEEP;
    /** Sends gossip. */
    static final String GOSSIP_TIMER = TimerNames.GOSSIP;
    /** Polls discovery again after a failure. */
    static final String DISCOVERY_TIMER = TimerNames.DISCOVERY_RETRY;
    /** Followed by a request id: an attempt of the request is overdue. */
    static final String OVERDUE_TIMER_PREFIX = TimerNames.ATTEMPT_OVERDUE;
    /** Followed by a request id: the health check of its endpoint had time to be answered. */
    static final String UNRESPONSIVE_TIMER_PREFIX = TimerNames.HEALTH_CHECK_DUE;
    /** Target of gossip that goes to every sidecar. */
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
                new EndpointRules(500_000, 0.13, 24_000_000, 3, 1_000_000, 10_000_000, 5_000, closeOnDrainMicros),
                loadReporting,
                polledDiscovery,
                false,
                0.1,
                new UsagePrices(crossZonePrice, 0.01, 0.002, connectionPrice, connectionPrice),
                1000);
        policy = new LoadBalancingPolicy(settings, seed, nowMicros, this);
        return this;
    }

    /** One of 14 sidecars, each with little traffic of its own, with the endpoints a and b. */
    static PolicyFixture oneOfFourteen() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.sidecarCount = 14;
        fixture.loadReporting = LoadReporting.NONE;
        return fixture.start().listed(endpoint("a", "za", 1), endpoint("b", "zb", 2));
    }

    /** A ready endpoint that started long ago. */
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

    /** A full endpoint list arrives. */
    PolicyFixture listed(Endpoint... endpoints) {
        return endpointList(EndpointListType.FULL, endpoints);
    }

    PolicyFixture endpointList(EndpointListType type, Endpoint... endpoints) {
        policy.onEndpointList(nowMicros, type, List.of(endpoints));
        return this;
    }

    PolicyFixture request(String id) {
        return request(id, DEADLINE_MICROS);
    }

    PolicyFixture request(String id, long remainingMicros) {
        return request(id, 0, remainingMicros);
    }

    PolicyFixture request(String id, double costHintMicros, long remainingMicros) {
        policy.onRequest(
                nowMicros, new Request(id, -1, false, false, costHintMicros, remainingMicros, null, REQUEST_CLASS));
        return this;
    }

    PolicyFixture outcome(String id, int attempt, String endpointId, AttemptOutcome outcome, long latencyMicros) {
        return outcome(
                new AttemptResult(id, attempt, endpointId, outcome, latencyMicros, outcome == AttemptOutcome.OK, null));
    }

    PolicyFixture outcome(AttemptResult result) {
        policy.onAttemptOutcome(nowMicros, result);
        return this;
    }

    PolicyFixture streamStart(String id, int attempt, String endpointId, long latencyMicros) {
        policy.onStreamStart(nowMicros, id, attempt, endpointId, latencyMicros);
        return this;
    }

    /** The client of the request has left. */
    PolicyFixture expire(String id) {
        policy.onRequestExpired(nowMicros, id);
        return this;
    }

    /** A health check is answered after 1 ms; {@code report} is null if the reply holds none. */
    PolicyFixture healthCheckReply(String endpointId, LoadReport report) {
        policy.onHealthCheck(nowMicros, endpointId, AttemptOutcome.OK, 1_000, report);
        return this;
    }

    PolicyFixture gossipReceived(int sender, byte[] message) {
        policy.onGossip(nowMicros, sender, message);
        return this;
    }

    /** Gossip of a sidecar that gets {@code requestsPerSecond} and has {@code inFlight} requests in flight. */
    PolicyFixture gossipReceived(int sender, double requestsPerSecond, double inFlight) {
        return gossipReceived(sender, gossip(requestsPerSecond, inFlight, new MachineTypeSample(0, 0, 0)));
    }

    /** The same gossip of the sidecars 1 to 13. */
    PolicyFixture gossipFromThirteenSidecars(double requestsPerSecond, double inFlight) {
        for (int sender = 1; sender < 14; sender++) {
            gossipReceived(sender, requestsPerSecond, inFlight);
        }
        return this;
    }

    /** Gossip of a sidecar that has learned of the machine type from so many responses. */
    PolicyFixture gossipOfMachineType(int sender, double speedFactor, double cores, int responses) {
        return gossipReceived(sender, gossip(0, 0, new MachineTypeSample(speedFactor, cores, responses)));
    }

    private static byte[] gossip(double requestsPerSecond, double inFlight, MachineTypeSample sample) {
        return new GossipMessage(0, requestsPerSecond, inFlight, List.of(sample), 0).encode();
    }

    PolicyFixture advance(long micros) {
        nowMicros += micros;
        return this;
    }

    /** Fires the timer, as the host would. */
    PolicyFixture fire(String timerName) {
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

    /** Where the attempt of this number of the request went, or null. */
    String endpointOf(String requestId, int attempt) {
        List<SentAttempt> attempts = sentAttempts(requestId);
        return attempt < attempts.size() ? attempts.get(attempt).endpointId() : null;
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

    /** Ids of the endpoints that were asked for a load report. */
    List<String> healthChecks() {
        return actions(HealthCheck.class).map(HealthCheck::endpointId).toList();
    }

    /** Ids of the endpoints whose idle connections were closed. */
    List<String> closedConnections() {
        return actions(ConnectionClose.class).map(ConnectionClose::endpointId).toList();
    }

    long closeCount(String endpointId) {
        return closedConnections().stream().filter(endpointId::equals).count();
    }

    long pollCount() {
        return actions(EndpointPoll.class).count();
    }

    /** Sidecars that gossip was sent to, {@link #ALL_SIDECARS} for one message to all. */
    List<Integer> gossipTargets() {
        return actions(Gossip.class).map(Gossip::sidecarIndex).toList();
    }

    /** The rate of requests a second that the last gossip names; it must have been well-formed. */
    double lastGossipRate() {
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

    /** Whether the rules allow an attempt of the waiting or running request at the endpoint now. */
    boolean maySend(String requestId, String endpointId) {
        return policy.eligibility.maySend(
                nowMicros, policy.requests.find(requestId), policy.endpoints.find(endpointId));
    }

    /** How many endpoints are remembered. */
    int endpointCount() {
        return policy.endpoints.size();
    }

    void setRoutingWeight(String endpointId, double weight) {
        policy.endpoints.find(endpointId).setRoutingWeight(weight);
    }

    double speedFactor(String endpointId) {
        return policy.endpoints.find(endpointId).speedFactor();
    }

    /** Of the machine type that {@link #endpoint} gives to endpoints. */
    double speedFactorOfMachineType() {
        return policy.endpoints.machineType(MACHINE_TYPE).speedFactor();
    }

    /** Of the machine type that {@link #endpoint} gives to endpoints. */
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
