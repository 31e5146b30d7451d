package loadbalancer.decision;

import static loadbalancer.decision.PolicyFixture.SWEEP_TIMER;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import loadbalancer.decision.RecordedAction.SentAttempt;
import loadbalancer.settings.LoadReporting;
import org.junit.jupiter.api.Test;

/** Endpoints in slow start get requests, and all sidecars together keep to their reduced capacity. */
class SlowStartBudgetTest {
    private static final Endpoint A = PolicyFixture.endpoint("a", "za", 1);
    private static final Endpoint B = PolicyFixture.endpoint("b", "zb", 2);
    /** Endpoint a, whose process has started at the moment at which every fixture starts. */
    private static final Endpoint JUST_STARTED =
            new Endpoint("a", "za", "k", 1, new PolicyFixture().nowMicros, 1, EndpointState.READY);

    /** The sidecars of one fleet, each with its own index and seed and with the same endpoints listed. */
    private static List<PolicyFixture> fleet(
            int sidecarCount, Consumer<PolicyFixture> furtherSettings, Endpoint... endpoints) {
        List<PolicyFixture> fixtures = new ArrayList<>();
        for (int i = 0; i < sidecarCount; i++) {
            PolicyFixture fixture = new PolicyFixture();
            fixture.sidecarIndex = i;
            fixture.seed = i;
            fixture.sidecarCount = sidecarCount;
            fixture.latencyObjectiveMicros = 400_000;
            furtherSettings.accept(fixture);
            fixtures.add(fixture.start().listed(endpoints));
        }
        return fixtures;
    }

    @Test
    void sidecarKeepsToItsPartOfTheBudget() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.latencyObjectiveMicros = 40_000;
        fixture.start();
        fixture.listed(new Endpoint("a", "za", "k", 1, fixture.nowMicros, 1, EndpointState.READY));
        long sent = 0;
        for (int i = 0; i < 100; i++) {
            fixture.advance(10_000).request("r" + i);
            if (fixture.endpointOf("r" + i, 0) != null) {
                sent++;
                fixture.advance(1_000).outcome("r" + i, 0, "a", AttemptOutcome.OK, 10_000);
            }
        }
        // 10 ms each; the budget is 3 x at most 0.17 of the capacity (two cores at first) in 1.1 s, and half
        // of it is this sidecar's.
        assertTrue(sent >= 1 && sent * 10_000 <= 3 * 0.17 * 2 * 1_100_000 / 2, "sent " + sent);
    }

    /**
     * Hundreds of sidecars are notified at the same instant, receive no gossip, and all have traffic. Together they
     * keep to the budget of any window, and the endpoint is used.
     */
    @Test
    void manySidecarsTogetherKeepToTheBudget() {
        int sidecarCount = 600;
        List<PolicyFixture> fixtures = fleet(sidecarCount, fixture -> {}, JUST_STARTED);
        List<Long> sends = new ArrayList<>();
        for (int step = 0; step < 800; step++) {
            for (PolicyFixture fixture : fixtures) {
                fixture.clearActions();
                String id = "r" + step;
                fixture.advance(10_000).request(id, 300_000);
                if (fixture.endpointOf(id, 0) != null) {
                    sends.add(fixture.nowMicros);
                    fixture.outcome(id, 0, "a", AttemptOutcome.OK, 100_000);
                }
                fixture.fire(SWEEP_TIMER);
            }
        }
        assertSentWithinTheBudget(1_000_000_000L, sends);
    }

    /**
     * With health checks more sidecars have a turn: all wait for room at once, and only load reports hold them back.
     */
    @Test
    void manySidecarsWithHealthChecksKeepToTheBudget() {
        int sidecarCount = 500;
        List<PolicyFixture> fixtures = fleet(sidecarCount, fixture -> fixture.healthChecks = true, JUST_STARTED);
        List<Long> sends = new ArrayList<>();
        double workMicros = 0;
        for (int step = 0; step < 2000; step++) {
            double capacityRatio = 0.13 + 0.87 * step * 5_000 / 24e6;
            workMicros = Math.max(0, workMicros - capacityRatio * 5_000);
            double inFlight = Math.ceil(workMicros / 100_000);
            for (PolicyFixture fixture : fixtures) {
                boolean checked = !fixture.healthChecks().isEmpty();
                fixture.clearActions();
                fixture.advance(5_000);
                if (checked) {
                    fixture.healthCheckReply("a", new LoadReport(inFlight, Math.max(0, inFlight - 1), 1));
                }
                if (step % 100 == 0) {
                    fixture.request("r" + step, 700_000);
                }
                fixture.fire(SWEEP_TIMER);
                for (SentAttempt attempt : fixture.sentAttempts()) {
                    sends.add(fixture.nowMicros);
                    workMicros += 100_000;
                    fixture.outcome(attempt.requestId(), 0, "a", AttemptOutcome.OK, 100_000);
                }
            }
        }
        assertSentWithinTheBudget(1_000_000_000L, sends);
    }

    /**
     * Many sidecars of unequal traffic, half of the endpoints in slow start, as after a release: these must take their
     * part of the traffic, or the others are overloaded.
     */
    @Test
    void largeFleetUsesSlowStartCapacityWithinTheBudget() {
        int sidecarCount = 100;
        Endpoint[] endpoints = new Endpoint[40];
        for (int i = 0; i < endpoints.length; i++) {
            // Two cores at 0.1 s each: 20 requests a second, and 3 of them at the start of slow start.
            endpoints[i] = new Endpoint("s" + i, "za", "k", 1, i < 20 ? 0 : 1_000_000_000L, 1, EndpointState.READY);
        }
        List<PolicyFixture> fixtures =
                fleet(sidecarCount, fixture -> fixture.loadReporting = LoadReporting.NONE, endpoints);
        Map<String, List<Long>> sends = new HashMap<>();
        for (int step = 0; step < 800; step++) {
            for (int i = 0; i < sidecarCount; i++) {
                PolicyFixture fixture = fixtures.get(i);
                fixture.advance(10_000);
                if (step % 50 == 0) {
                    for (int offset = 0; offset < 20; offset++) {
                        int sender = (offset == 0 ? 0 : i + offset) % sidecarCount;
                        fixture.gossipReceived(sender, offset == 0 ? 40 : 3, 0);
                    }
                }
                // 40 a second at the first sidecar, 3 at each other: 337, of about 460 that the endpoints can serve.
                if (i == 0 ? step % 5 < 2 : (step + i) % 33 == 0) {
                    String id = "r" + step;
                    fixture.clearActions();
                    fixture.request(id, 400_000);
                    String endpoint = fixture.endpointOf(id, 0);
                    if (endpoint != null) {
                        sends.computeIfAbsent(endpoint, key -> new ArrayList<>())
                                .add(fixture.nowMicros);
                        fixture.outcome(id, 0, endpoint, AttemptOutcome.OK, 100_000);
                    }
                }
            }
        }
        double served = 0;
        for (int i = 20; i < endpoints.length; i++) {
            List<Long> times = sends.getOrDefault("s" + i, List.of());
            served += times.size();
            for (int first = 0; first < times.size(); first++) {
                int end = first;
                while (end < times.size() && times.get(end) < times.get(first) + 1_000_000) {
                    end++;
                }
                double budget = 3 * 20 * (0.13 + 0.87 * (times.get(first) - 1_000_000_000L) / 24e6);
                assertTrue(
                        end - first <= budget + 3 * Math.sqrt(budget) + 3,
                        end - first + " requests at a budget of " + budget);
            }
        }
        // 20 endpoints, for 8 s, at 0.13 to 0.42 of 20 requests a second: 880 at full utilization.
        assertTrue(served > 220, served + " requests to endpoints in slow start");
    }

    /**
     * If selected at each turn, many endpoints in slow start would get most requests of a fleet and serve them late.
     */
    @Test
    void endpointInSlowStartIsDrawnByItsReducedCapacity() {
        int selected = 0;
        for (int seed = 0; seed < 300; seed++) {
            PolicyFixture fixture = new PolicyFixture();
            fixture.sidecarCount = 14;
            fixture.sidecarIndex = seed % 14;
            fixture.seed = seed;
            fixture.loadReporting = LoadReporting.NONE;
            // At half its capacity beside three endpoints of full capacity: a seventh of the fleet.
            fixture.start()
                    .listed(
                            A,
                            B,
                            PolicyFixture.endpoint("d", "za", 1),
                            new Endpoint("c", "za", "k", 1, fixture.nowMicros - 12_000_000, 1, EndpointState.READY));
            fixture.gossipFromThirteenSidecars(8, 0);
            fixture.advance(200_000).request("r");
            selected += "c".equals(fixture.endpointOf("r", 0)) ? 1 : 0;
        }
        assertTrue(selected >= 10 && selected <= 90, selected + " of 300");
    }

    /**
     * Sends of 0.1 s each to an endpoint that started at {@code start}: some, and in no window more than the budget.
     */
    private static void assertSentWithinTheBudget(long start, List<Long> sends) {
        assertTrue(sends.size() > 8, "requests sent: " + sends.size());
        for (int first = 0; first < sends.size(); first++) {
            int end = first;
            while (end < sends.size() && sends.get(end) < sends.get(first) + 1_000_000) {
                end++;
            }
            double capacityRatio = 0.13 + 0.87 * (sends.get(first) - start) / 24e6;
            assertTrue(
                    (end - first) * 0.1 <= 3 * capacityRatio,
                    (end - first) + " requests of 0.1 s at a capacity of " + capacityRatio);
        }
    }
}
