package loadbalancer.decision;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.settings.DeduplicationScope;
import loadbalancer.settings.EndpointRules;
import loadbalancer.settings.Idempotency;
import loadbalancer.settings.LoadBalancerSettings;
import loadbalancer.settings.LoadReporting;
import loadbalancer.settings.RequestClass;
import loadbalancer.settings.RequestLimits;
import loadbalancer.settings.Tenant;
import loadbalancer.settings.UsagePrices;

/** One instance of the module under test, its actions written down as lines. */
final class PolicyFixture implements LoadBalancerActions {
    final List<String> actions = new ArrayList<>();
    long now = 1_000_000_000L;
    LoadBalancingPolicy policy;
    LoadBalancerSettings policySettings;
    GossipMessage lastWord;

    Idempotency semantics = Idempotency.IDEMPOTENT;
    DeduplicationScope group = DeduplicationScope.ALL;
    long windowUs = 4_000_000;
    long aimUs = 300_000;
    boolean stream;
    int maxAttempts = 4;
    boolean secondCopies;
    boolean peers = true;
    boolean probing;
    long closeOnDrainUs;
    int me;
    double connectionPrice;
    boolean onRequest;
    int balancers = 2;
    long seed = 7;
    double crossZonePrice;
    LoadReporting reports = LoadReporting.INLINE;
    List<Tenant> tenants = List.of();

    PolicyFixture start() {
        RequestClass c = new RequestClass("c", semantics, group, windowUs, aimUs, 0, 800_000, 3, 0, stream);
        LoadBalancerSettings settings = new LoadBalancerSettings(
                me,
                balancers,
                "za",
                List.of("za", "zb", "zc"),
                List.of("k"),
                List.of(c),
                tenants,
                new RequestLimits(
                        maxAttempts, secondCopies, true, probing, peers, true, 1_000_000, 15_000_000, 250_000, 0),
                new EndpointRules(500_000, 0.13, 24_000_000, 3, 1_000_000, 10_000_000, 5_000, closeOnDrainUs),
                reports,
                onRequest,
                false,
                0.1,
                new UsagePrices(crossZonePrice, 0.01, 0.002, connectionPrice, connectionPrice),
                1000);
        policySettings = settings;
        policy = new LoadBalancingPolicy(settings, seed, now, this);
        return this;
    }

    static Endpoint up(String id, String zone, int cell) {
        return new Endpoint(id, zone, "k", cell, 0, 1, EndpointState.READY);
    }

    PolicyFixture list(Endpoint... entries) {
        policy.onEndpointList(now, EndpointListType.FULL, List.of(entries));
        return this;
    }

    PolicyFixture request(String id) {
        return request(id, 800_000);
    }

    PolicyFixture request(String id, long remainingUs) {
        policy.onRequest(now, new Request(id, -1, false, false, 0, remainingUs, null, "c"));
        return this;
    }

    PolicyFixture outcome(String id, int attempt, String upstream, AttemptOutcome outcome, long latencyUs) {
        policy.onAttemptOutcome(
                now, new AttemptResult(id, attempt, upstream, outcome, latencyUs, outcome == AttemptOutcome.OK, null));
        return this;
    }

    PolicyFixture after(long us) {
        now += us;
        return this;
    }

    /** Fires the timer, as the host would. */
    PolicyFixture fire(String mark) {
        policy.onTimer(now, mark);
        return this;
    }

    List<String> take(String verb) {
        return actions.stream().filter(a -> a.startsWith(verb)).toList();
    }

    /** Where the attempt of this number of the request went, or null. */
    String sentTo(String id, int attempt) {
        List<String> sends = take("send " + id + " ");
        return attempt < sends.size() ? sends.get(attempt).split(" ")[2] : null;
    }

    @Override
    public void sendAttempt(String request, String upstream, long untilUs) {
        actions.add("send " + request + " " + upstream + " " + untilUs);
    }

    @Override
    public void reject(String request, long retryAfterUs) {
        actions.add("refuse " + request);
    }

    @Override
    public void fail(String request) {
        actions.add("fail " + request);
    }

    @Override
    public void cancelAttempt(String request, int attempt) {
        actions.add("cancel " + request + " " + attempt);
    }

    @Override
    public void checkHealth(String upstream) {
        actions.add("probe " + upstream);
    }

    @Override
    public void pollEndpoints() {
        actions.add("subscribe");
    }

    @Override
    public void sendGossip(int peer, byte[] message) {
        actions.add("tell " + peer + " " + message.length);
        GossipMessage word = new GossipMessage(1);
        lastWord = word.read(message) ? word : null;
    }

    @Override
    public void closeIdleConnections(String upstream) {
        actions.add("close " + upstream);
    }

    @Override
    public void startTimer(String mark, long delayUs) {
        actions.add("timer " + mark + " " + delayUs);
    }

    @Override
    public void log(String text) {
        actions.add("log " + text);
    }
}
