package loadbalancer.decision;

import static loadbalancer.decision.PolicyFixture.SWEEP_TIMER;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import loadbalancer.decision.RecordedAction.SentAttempt;
import loadbalancer.settings.LoadReporting;
import org.junit.jupiter.api.Test;

/**
 * Endpoints in slow start get requests, and all sidecars together stay within the reduced capacity. The budgets are
 * computed from the rules of {@link PolicyFixture}: 3 times the capacity in a window of 1 s, and a capacity ratio that
 * increases from 0.13 to 1 within 24 s.
 */
class SlowStartBudgetTest {
    private static final Endpoint A = PolicyFixture.endpoint("a", "za", 1);
    private static final Endpoint B = PolicyFixture.endpoint("b", "zb", 2);
    /** Endpoint a, started at the time at which the clock of every fixture starts. */
    private static final Endpoint JUST_STARTED =
            new Endpoint("a", "za", "k", 1, new PolicyFixture().nowMicros, 1, EndpointState.READY);

    /** Returns the sidecars of one fleet, each with its own index and seed and with the same endpoints listed. */
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
            fixtures.add(fixture.start().receiveFullSnapshot(endpoints));
        }
        return fixtures;
    }

    @Test
    void staysWithinBudgetOfOneSidecar() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.latencyObjectiveMicros = 40_000;
        fixture.start();
        fixture.receiveFullSnapshot(new Endpoint("a", "za", "k", 1, fixture.nowMicros, 1, EndpointState.READY));
        long sent = 0;
        for (int i = 0; i < 100; i++) {
            fixture.advanceMicros(10_000).request("r" + i);
            if (fixture.endpointOf("r" + i, 0) != null) {
                sent++;
                fixture.advanceMicros(1_000).outcome("r" + i, 0, "a", AttemptOutcome.OK, 10_000);
            }
        }
        // Each request takes 10 ms. In 1.1 s the budget is 3 times the capacity, which is at most 0.17 of the one core
        // that is assumed, plus the slack of the rule for N requests, 2 roots of N and 2. This sidecar gets half of it.
        double budgetRequests = 3 * 0.17 * 1_100_000 / 10_000;
        double allowedRequests = budgetRequests + 2 * Math.sqrt(budgetRequests) + 2;
        assertTrue(sent >= 1 && sent <= allowedRequests / 2, "requests sent: " + sent);
    }

    /** A start accepts such settings. Requests must still get a final response, and the endpoint is used when warm. */
    @Test
    void handlesRequestsWithoutOverloadWindow() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.overloadWindowMicros = 0;
        fixture.start();
        fixture.receiveFullSnapshot(new Endpoint("a", "za", "k", 1, fixture.nowMicros, 1, EndpointState.READY));
        fixture.advanceMicros(10_000).request("cold").expire("cold");
        fixture.advanceMicros(24_000_000).request("warm");
        assertEquals("a", fixture.endpointOf("warm", 0));
    }

    /**
     * Hundreds of sidecars with traffic learn of the endpoint at the same time and receive no gossip. Together they
     * must use the endpoint and stay within the budget in every window.
     */
    @Test
    void keepsManySidecarsWithinBudget() {
        int sidecarCount = 600;
        List<PolicyFixture> fixtures = fleet(sidecarCount, fixture -> {}, JUST_STARTED);
        List<Long> sends = new ArrayList<>();
        for (int step = 0; step < 800; step++) {
            for (PolicyFixture fixture : fixtures) {
                fixture.clearActions();
                String id = "r" + step;
                fixture.advanceMicros(10_000).request(id, 300_000);
                if (fixture.endpointOf(id, 0) != null) {
                    sends.add(fixture.nowMicros);
                    fixture.outcome(id, 0, "a", AttemptOutcome.OK, 100_000);
                }
                fixture.fireTimer(SWEEP_TIMER);
            }
        }
        assertSentWithinBudget(1_000_000_000L, sends);
    }

    /**
     * With health checks, the budget of a slot is larger. All sidecars wait for a free core at the same time, and only
     * the staggered turns and the load reports keep them from sending at once.
     */
    @Test
    void keepsManySidecarsWithHealthChecksWithinBudget() {
        int sidecarCount = 500;
        List<PolicyFixture> fixtures = fleet(sidecarCount, fixture -> fixture.healthChecks = true, JUST_STARTED);
        List<Long> sends = new ArrayList<>();
        double workMicros = 0;
        for (int step = 0; step < 2000; step++) {
            double capacityRatio = 0.13 + 0.87 * step * 5_000 / 24e6;
            workMicros = Math.max(0, workMicros - capacityRatio * 5_000);
            double inFlight = Math.ceil(workMicros / 100_000);
            for (PolicyFixture fixture : fixtures) {
                boolean checked = !fixture.checkedEndpoints().isEmpty();
                fixture.clearActions();
                fixture.advanceMicros(5_000);
                if (checked) {
                    fixture.healthCheckReply("a", new LoadReport(inFlight, Math.max(0, inFlight - 1), 1));
                }
                if (step % 100 == 0) {
                    fixture.request("r" + step, 700_000);
                }
                fixture.fireTimer(SWEEP_TIMER);
                for (SentAttempt attempt : fixture.sentAttempts()) {
                    sends.add(fixture.nowMicros);
                    workMicros += 100_000;
                    fixture.outcome(attempt.requestId(), 0, "a", AttemptOutcome.OK, 100_000);
                }
            }
        }
        assertSentWithinBudget(1_000_000_000L, sends);
    }

    /**
     * Many sidecars have unequal traffic, and half of the endpoints are in slow start, as after a release. The
     * endpoints in slow start must receive their fraction of the traffic, or the other endpoints are overloaded.
     */
    @Test
    void usesSlowStartCapacityWithinBudgetInLargeFleet() {
        int sidecarCount = 100;
        Endpoint[] endpoints = new Endpoint[40];
        for (int i = 0; i < endpoints.length; i++) {
            // Two cores at 0.1 s per request serve 20 requests per second, and about 3 at the beginning of slow start.
            endpoints[i] = new Endpoint("s" + i, "za", "k", 1, i < 20 ? 0 : 1_000_000_000L, 1, EndpointState.READY);
        }
        List<PolicyFixture> fixtures =
                fleet(sidecarCount, fixture -> fixture.loadReporting = LoadReporting.NONE, endpoints);
        Map<String, List<Long>> sends = new HashMap<>();
        for (int step = 0; step < 800; step++) {
            for (int i = 0; i < sidecarCount; i++) {
                PolicyFixture fixture = fixtures.get(i);
                fixture.advanceMicros(10_000);
                if (step % 50 == 0) {
                    for (int offset = 0; offset < 20; offset++) {
                        int sender = (offset == 0 ? 0 : i + offset) % sidecarCount;
                        fixture.receiveGossip(sender, offset == 0 ? 40 : 3, 0);
                    }
                }
                // Requests per second: 40 at the first sidecar and 3 at each other one, together 337; the endpoints can
                // serve about 460.
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
                        end - first + " requests in one window exceed the budget of " + budget);
            }
        }
        // 20 endpoints each serve 0.13 to 0.42 of 20 requests per second for 8 s: 880 requests at full utilization.
        assertTrue(served > 220, served + " requests were sent to endpoints in slow start");
    }

    /**
     * If every turn led to a selection, endpoints in slow start would get most requests of a large fleet and serve them
     * late.
     */
    @Test
    void drawsEndpointInSlowStartByItsReducedCapacity() {
        int selected = 0;
        for (int seed = 0; seed < 300; seed++) {
            PolicyFixture fixture = new PolicyFixture();
            fixture.sidecarCount = 14;
            fixture.sidecarIndex = seed % 14;
            fixture.seed = seed;
            fixture.loadReporting = LoadReporting.NONE;
            // Endpoint c has half of its capacity and the other three have full capacity: c has a seventh of the total.
            fixture.start()
                    .receiveFullSnapshot(
                            A,
                            B,
                            PolicyFixture.endpoint("d", "za", 1),
                            new Endpoint("c", "za", "k", 1, fixture.nowMicros - 12_000_000, 1, EndpointState.READY));
            fixture.receiveGossipFromThirteenSidecars(8, 0);
            fixture.advanceMicros(200_000).request("r");
            selected += "c".equals(fixture.endpointOf("r", 0)) ? 1 : 0;
        }
        assertTrue(selected >= 10 && selected <= 90, selected + " of 300 requests were sent to c");
    }

    /**
     * Asserts that some requests of 0.1 s each were sent to the endpoint, and in no window more than the budget.
     *
     * @param startedMicros when the endpoint started
     * @param sends send times of the requests, in microseconds
     */
    private static void assertSentWithinBudget(long startedMicros, List<Long> sends) {
        assertTrue(sends.size() > 8, "requests sent: " + sends.size());
        for (int first = 0; first < sends.size(); first++) {
            int end = first;
            while (end < sends.size() && sends.get(end) < sends.get(first) + 1_000_000) {
                end++;
            }
            double capacityRatio = 0.13 + 0.87 * (sends.get(first) - startedMicros) / 24e6;
            assertTrue(
                    (end - first) * 0.1 <= 3 * capacityRatio,
                    (end - first) + " requests of 0.1 s in one window exceed the budget at capacity ratio "
                            + capacityRatio);
        }
    }
}
