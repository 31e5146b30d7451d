package loadbalancer.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.settings.DeduplicationScope;
import loadbalancer.settings.Idempotency;
import loadbalancer.settings.LoadReporting;
import org.junit.jupiter.api.Test;

class LoadBalancingPolicyTest {
    private static final Endpoint A = PolicyFixture.up("a", "za", 1);
    private static final Endpoint B = PolicyFixture.up("b", "zb", 2);

    // ---- final answers --------------------------------------------------------------------------

    @Test
    void withoutAnyServerARequestIsAnsweredBeforeItsDeadline() {
        PolicyFixture rig = new PolicyFixture().start();
        rig.request("r");
        for (int i = 0; i < 100; i++) {
            rig.after(5_000).fire("hold");
        }
        assertEquals(List.of("refuse r"), rig.take("refuse"));
        assertTrue(rig.take("fail").isEmpty());
    }

    @Test
    void aRequestWithHardlyAnyTimeLeftIsNotHeldForTheSweep() {
        PolicyFixture rig = new PolicyFixture().start();
        rig.request("r", 3_000);
        assertEquals(1, rig.take("refuse r").size());
    }

    @Test
    void aTimeoutAtTheDeadlineIsAnsweredWithAFailure() {
        PolicyFixture rig = new PolicyFixture();
        rig.semantics = Idempotency.IDEMPOTENT_WITH_KEY;
        rig.group = DeduplicationScope.ZONE;
        rig.start().list(A).request("r").after(800_000).outcome("r", 0, "a", AttemptOutcome.TIMEOUT, 800_000);
        assertEquals(1, rig.take("fail r").size());
        assertEquals(1, rig.take("send r").size());
    }

    @Test
    void nothingFollowsAfterTheClientHasLeft() {
        PolicyFixture rig = new PolicyFixture().start().list(A, B);
        rig.request("r");
        rig.policy.onRequestExpired(rig.now, "r");
        rig.after(10_000).outcome("r", 0, rig.sentTo("r", 0), AttemptOutcome.CONNECT_FAILED, 10_000);
        assertEquals(1, rig.take("send r").size());
        assertTrue(rig.take("fail").isEmpty() && rig.take("refuse").isEmpty());
    }

    @Test
    void aStartedStreamGetsNoOtherAttemptAndNoSecondAnswer() {
        PolicyFixture rig = new PolicyFixture();
        rig.stream = true;
        rig.start().list(A, B).request("r");
        rig.policy.onStreamStart(rig.now, "r", 0, rig.sentTo("r", 0), 5_000);
        rig.policy.onAttemptOutcome(
                rig.now, new AttemptResult("r", 0, rig.sentTo("r", 0), AttemptOutcome.RESET, 9_000, true, null));
        assertEquals(1, rig.take("send").size());
        assertTrue(rig.take("fail").isEmpty() && rig.take("refuse").isEmpty());
    }

    // ---- effects --------------------------------------------------------------------------------

    @Test
    void unsafeIsNeitherRepeatedNorRefusedOnceItMayHaveRun() {
        PolicyFixture rig = new PolicyFixture();
        rig.semantics = Idempotency.NOT_IDEMPOTENT;
        rig.start().list(A, B).request("r").after(10_000);
        rig.outcome("r", 0, rig.sentTo("r", 0), AttemptOutcome.ERROR, 10_000);
        assertEquals(1, rig.take("send r").size());
        assertEquals(1, rig.take("fail r").size());
        assertTrue(rig.take("refuse").isEmpty());
    }

    @Test
    void unsafeGoesAgainWhereItProvablyNeverRan() {
        PolicyFixture rig = new PolicyFixture();
        rig.semantics = Idempotency.NOT_IDEMPOTENT;
        rig.start().list(A, B).request("r").after(10_000);
        rig.outcome("r", 0, rig.sentTo("r", 0), AttemptOutcome.CONNECT_FAILED, 10_000);
        assertNotNull(rig.sentTo("r", 1));
        assertNotEquals(rig.sentTo("r", 0), rig.sentTo("r", 1));
    }

    @Test
    void keyedStaysInTheZoneThatDropsRepeats() {
        for (int seed = 0; seed < 20; seed++) {
            PolicyFixture rig = new PolicyFixture();
            rig.seed = seed;
            rig.semantics = Idempotency.IDEMPOTENT_WITH_KEY;
            rig.group = DeduplicationScope.ZONE;
            rig.start().list(A, B, PolicyFixture.up("c", "zb", 3)).request("r").after(10_000);
            String first = rig.sentTo("r", 0);
            rig.outcome("r", 0, first, AttemptOutcome.RESET, 10_000);
            String second = rig.sentTo("r", 1);
            if (second != null) {
                assertEquals(first.equals("a"), second.equals("a"), first + " then " + second);
            }
            assertTrue(rig.take("refuse").isEmpty());
        }
    }

    @Test
    void keyedStaysInItsCellAndItsWindow() {
        PolicyFixture rig = new PolicyFixture();
        rig.semantics = Idempotency.IDEMPOTENT_WITH_KEY;
        rig.group = DeduplicationScope.CELL;
        rig.start()
                .list(A, B)
                .request("r")
                .after(10_000)
                .outcome("r", 0, rig.sentTo("r", 0), AttemptOutcome.ERROR, 10_000);
        String second = rig.sentTo("r", 1);
        assertTrue(second == null || second.equals(rig.sentTo("r", 0)));

        PolicyFixture late = new PolicyFixture();
        late.semantics = Idempotency.IDEMPOTENT_WITH_KEY;
        late.windowUs = 5_000;
        late.start()
                .list(A, B)
                .request("r")
                .after(10_000)
                .outcome("r", 0, late.sentTo("r", 0), AttemptOutcome.ERROR, 10_000);
        assertNull(late.sentTo("r", 1));
        // It may have run and no server drops its repeat any more: to call a retry harmless would be wrong.
        assertEquals(1, late.take("fail r").size());
        assertTrue(late.take("refuse").isEmpty());
    }

    /** A repeat that is sent within the window may be there after it, where its connection comes up late. */
    @Test
    void aKeyedRepeatIsThereWithinTheWindowHoweverLateItsConnection() {
        for (long windowUs : new long[] {259_000, 261_000}) {
            PolicyFixture rig = new PolicyFixture();
            rig.semantics = Idempotency.IDEMPOTENT_WITH_KEY;
            rig.windowUs = windowUs;
            rig.start().list(A, B).request("r").after(10_000);
            rig.outcome("r", 0, rig.sentTo("r", 0), AttemptOutcome.ERROR, 10_000);
            assertEquals(windowUs > 260_000, rig.sentTo("r", 1) != null, "window " + windowUs);
        }
    }

    /** Retry advice is for what has not run; a safe request that may have run has failed. */
    @Test
    void whatMayHaveRunIsFailedAndNotRefused() {
        for (AttemptOutcome outcome : new AttemptOutcome[] {
            AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT, AttemptOutcome.RESET, AttemptOutcome.REJECTED
        }) {
            PolicyFixture rig = new PolicyFixture();
            rig.maxAttempts = 1;
            rig.start().list(A, B).request("r").after(10_000).outcome("r", 0, rig.sentTo("r", 0), outcome, 10_000);
            assertEquals(outcome.mayHaveRun ? 1 : 0, rig.take("fail r").size(), outcome.name());
            assertEquals(outcome.mayHaveRun ? 0 : 1, rig.take("refuse r").size(), outcome.name());
        }
    }

    @Test
    void theMostAttemptsAreKept() {
        PolicyFixture rig = new PolicyFixture();
        rig.maxAttempts = 2;
        rig.start().list(A, B, PolicyFixture.up("c", "zc", 3)).request("r");
        for (int i = 0; i < 2; i++) {
            rig.after(1_000).outcome("r", i, rig.sentTo("r", i), AttemptOutcome.CONNECT_FAILED, 1_000);
        }
        assertEquals(2, rig.take("send r").size());
        assertEquals(1, rig.take("refuse r").size());
    }

    @Test
    void aSecondCopyPassesTheGateOnlyWhereAllowed() {
        for (boolean copies : new boolean[] {false, true}) {
            PolicyFixture rig = new PolicyFixture();
            rig.secondCopies = copies;
            rig.start().list(A, B).request("r");
            TrackedEndpoint other = rig.policy.endpoints.find(rig.sentTo("r", 0).equals("a") ? "b" : "a");
            assertEquals(copies, rig.policy.retries.maySend(rig.now, rig.policy.requests.find("r"), other));
        }
    }

    // ---- drains and cold servers ----------------------------------------------------------------

    @Test
    void nothingGoesToAServerToldDrainingOrGone() {
        PolicyFixture rig = new PolicyFixture().start().list(A, B);
        rig.policy.onEndpointList(
                rig.now,
                EndpointListType.DELTA,
                List.of(new Endpoint("a", "za", "k", 1, 0, 1, EndpointState.DRAINING)));
        rig.request("r1").request("r2");
        rig.policy.onEndpointList(rig.now, EndpointListType.FULL, List.of(A));
        rig.after(1).request("r3");
        assertEquals("b", rig.sentTo("r1", 0));
        assertEquals("b", rig.sentTo("r2", 0));
        assertEquals("a", rig.sentTo("r3", 0));
    }

    @Test
    void aColdServerGetsNoMoreThanThisSidecarsPart() {
        PolicyFixture rig = new PolicyFixture();
        rig.aimUs = 40_000;
        rig.start();
        rig.list(new Endpoint("a", "za", "k", 1, rig.now, 1, EndpointState.READY));
        long sent = 0;
        for (int i = 0; i < 100; i++) {
            rig.after(10_000).request("r" + i);
            if (rig.sentTo("r" + i, 0) != null) {
                sent++;
                rig.after(1_000).outcome("r" + i, 0, "a", AttemptOutcome.OK, 10_000);
            }
        }
        // 10 ms each; budget 3 x at most 0.17 of the capacity (two cores, at the first guess) in 1.1 s,
        // half is ours.
        assertTrue(sent >= 1 && sent * 10_000 <= 3 * 0.17 * 2 * 1_100_000 / 2, "sent " + sent);
    }

    /**
     * Incident i60eb35 and the later deployments: hundreds of sidecars are told at one instant, hear nobody, and all
     * have traffic. Together they stay inside the budget of any window, and somebody warms the server.
     */
    @Test
    void manySidecarsTogetherStayInsideTheBudgetOfAColdServer() {
        int n = 600;
        List<PolicyFixture> rigs = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            PolicyFixture rig = new PolicyFixture();
            rig.me = i;
            rig.seed = i;
            rig.balancers = n;
            rig.aimUs = 400_000;
            rigs.add(rig.start().list(new Endpoint("a", "za", "k", 1, rig.now, 1, EndpointState.READY)));
        }
        List<Long> sends = new ArrayList<>();
        for (int step = 0; step < 800; step++) {
            for (PolicyFixture rig : rigs) {
                rig.actions.clear();
                String id = "r" + step;
                rig.after(10_000).request(id, 300_000);
                if (rig.sentTo(id, 0) != null) {
                    sends.add(rig.now);
                    rig.outcome(id, 0, "a", AttemptOutcome.OK, 100_000);
                }
                rig.fire("hold");
            }
        }
        assertWarmedInsideTheBudget(1_000_000_000L, sends);
    }

    /**
     * Many sidecars of unlike traffic, half of the servers cold, as after a release: few sidecars have drawn a cold
     * server when their turn comes, so turns alone left it next to nothing while the warm ones were overrun.
     */
    @Test
    void coldServersGetTheirPartOfALargeFleetsTrafficAndStayInsideTheBudget() {
        int n = 100;
        List<PolicyFixture> rigs = new ArrayList<>();
        Endpoint[] list = new Endpoint[40];
        for (int i = 0; i < list.length; i++) {
            // Two cores at 0.1 s each: a warm one serves 20 a second, a cold one 3 of them when it starts.
            list[i] = new Endpoint("s" + i, "za", "k", 1, i < 20 ? 0 : 1_000_000_000L, 1, EndpointState.READY);
        }
        for (int i = 0; i < n; i++) {
            PolicyFixture rig = new PolicyFixture();
            rig.me = i;
            rig.seed = i;
            rig.balancers = n;
            rig.aimUs = 400_000;
            rig.reports = LoadReporting.NONE;
            rigs.add(rig.start().list(list));
        }
        Map<String, List<Long>> sends = new HashMap<>();
        for (int step = 0; step < 800; step++) {
            for (int i = 0; i < n; i++) {
                PolicyFixture rig = rigs.get(i);
                rig.after(10_000);
                if (step % 50 == 0) {
                    for (int peer = 0; peer < 20; peer++) {
                        GossipMessage word = new GossipMessage(1);
                        word.rate = peer == 0 ? 40 : 3;
                        rig.policy.onGossip(rig.now, (peer == 0 ? 0 : i + peer) % n, word.bytes());
                    }
                }
                // 40 a second at the first sidecar, 3 at each other: 337, of about 460 that the servers can do.
                if (i == 0 ? step % 5 < 2 : (step + i) % 33 == 0) {
                    String id = "r" + step;
                    rig.actions.clear();
                    rig.request(id, 400_000);
                    String to = rig.sentTo(id, 0);
                    if (to != null) {
                        sends.computeIfAbsent(to, s -> new ArrayList<>()).add(rig.now);
                        rig.outcome(id, 0, to, AttemptOutcome.OK, 100_000);
                    }
                }
            }
        }
        double served = 0;
        for (int i = 20; i < list.length; i++) {
            List<Long> of = sends.getOrDefault("s" + i, List.of());
            served += of.size();
            for (int k = 0; k < of.size(); k++) {
                int j = k;
                while (j < of.size() && of.get(j) < of.get(k) + 1_000_000) {
                    j++;
                }
                double budget = 3 * 20 * (0.13 + 0.87 * (of.get(k) - 1_000_000_000L) / 24e6);
                assertTrue(j - k <= budget + 3 * Math.sqrt(budget) + 3, j - k + " requests at a budget of " + budget);
            }
        }
        // 20 servers, for 8 s, at 0.13 to 0.42 of 20 a second: 880 if they were as busy as they can be.
        assertTrue(served > 220, served + " requests to the cold servers");
    }

    /** Sends of 0.1 s each to a server that started cold at {@code start}: some, and in no window too much. */
    private static void assertWarmedInsideTheBudget(long start, List<Long> sends) {
        assertTrue(sends.size() > 8, "it is warmed: " + sends.size());
        for (int i = 0; i < sends.size(); i++) {
            int j = i;
            while (j < sends.size() && sends.get(j) < sends.get(i) + 1_000_000) {
                j++;
            }
            double warmth = 0.13 + 0.87 * (sends.get(i) - start) / 24e6;
            assertTrue((j - i) * 0.1 <= 3 * warmth, (j - i) + " requests of 0.1 s at a capacity of " + warmth);
        }
    }

    /** Where the server is asked first more have a turn: all wait for room at once, and its answers hold them back. */
    @Test
    void manySidecarsThatAskFirstStayInsideTheBudgetToo() {
        int n = 500;
        List<PolicyFixture> rigs = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            PolicyFixture rig = new PolicyFixture();
            rig.me = i;
            rig.seed = i;
            rig.balancers = n;
            rig.aimUs = 400_000;
            rig.probing = true;
            rigs.add(rig.start().list(new Endpoint("a", "za", "k", 1, rig.now, 1, EndpointState.READY)));
        }
        List<Long> sends = new ArrayList<>();
        double work = 0;
        for (int step = 0; step < 2000; step++) {
            double warmth = 0.13 + 0.87 * step * 5_000 / 24e6;
            work = Math.max(0, work - warmth * 5_000);
            double held = Math.ceil(work / 100_000);
            for (PolicyFixture rig : rigs) {
                boolean asked = !rig.take("probe").isEmpty();
                rig.actions.clear();
                rig.after(5_000);
                if (asked) {
                    rig.policy.onHealthCheck(
                            rig.now, "a", AttemptOutcome.OK, 1_000, new LoadReport(held, Math.max(0, held - 1), 1));
                }
                if (step % 100 == 0) {
                    rig.request("r" + step, 700_000);
                }
                rig.fire("hold");
                for (String send : rig.take("send")) {
                    sends.add(rig.now);
                    work += 100_000;
                    rig.outcome(send.split(" ")[1], 0, "a", AttemptOutcome.OK, 100_000);
                }
            }
        }
        assertWarmedInsideTheBudget(1_000_000_000L, sends);
    }

    // ---- connections ----------------------------------------------------------------------------

    private static Endpoint state(Endpoint u, EndpointState state) {
        return new Endpoint(u.id(), u.zone(), u.machineType(), u.cell(), u.startedMicros(), 1, state);
    }

    @Test
    void idleConnectionsAreClosedAtADrainAndAfterEachLaterOutcomeWhereTheRuleIsSet() {
        for (long within : new long[] {0, 500_000}) {
            PolicyFixture rig = new PolicyFixture();
            rig.closeOnDrainUs = within;
            rig.start().list(A).request("r").request("s");
            rig.policy.onEndpointList(rig.now, EndpointListType.DELTA, List.of(state(A, EndpointState.DRAINING)));
            assertEquals(within > 0 ? 1 : 0, rig.take("close a").size());
            rig.after(50_000).outcome("r", 0, "a", AttemptOutcome.OK, 50_000);
            assertEquals(within > 0 ? 2 : 0, rig.take("close a").size());
            // It comes back: no more closing.
            rig.policy.onEndpointList(rig.now, EndpointListType.DELTA, List.of(A));
            rig.after(50_000).outcome("s", 0, "a", AttemptOutcome.OK, 100_000);
            assertEquals(within > 0 ? 2 : 0, rig.take("close a").size());
        }
    }

    @Test
    void aServerThatVanishesIsClosedAndOneNeverUsedIsNot() {
        PolicyFixture rig = new PolicyFixture();
        rig.closeOnDrainUs = 500_000;
        rig.start().list(A, B).request("r");
        String used = rig.sentTo("r", 0);
        rig.policy.onEndpointList(rig.now, EndpointListType.FULL, List.of());
        assertEquals(List.of("close " + used), rig.take("close"));
    }

    @Test
    void whereConnectionsCostASidecarKeepsToAFewServersOfEachKindEvenly() {
        int n = 400;
        List<Endpoint> fleet = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            String kind = i % 3 == 0 ? "slow" : "fast";
            fleet.add(new Endpoint("u" + i * 7919, "za", kind, i / 3, 0, 1, EndpointState.READY));
        }
        java.util.Map<String, Integer> users = new java.util.HashMap<>();
        for (int i = 0; i < n; i++) {
            PolicyFixture rig = new PolicyFixture();
            rig.me = i;
            rig.balancers = n;
            rig.connectionPrice = 0.05;
            rig.reports = LoadReporting.NONE;
            rig.start().list(fleet.toArray(new Endpoint[0]));
            java.util.Set<String> used = new java.util.HashSet<>();
            for (int j = 0; j < 40; j++) {
                rig.after(200_000).request("r" + j);
                used.add(rig.sentTo("r" + j, 0));
                rig.outcome("r" + j, 0, rig.sentTo("r" + j, 0), AttemptOutcome.OK, 75_000);
            }
            assertTrue(used.size() <= 6, "" + used);
            used.forEach(u -> users.merge(u, 1, Integer::sum));
        }
        assertEquals(60, users.size());
        users.forEach((u, c) -> assertTrue(c >= 5 && c <= 50, u + " has " + c));
    }

    /** Connections dropped unseen: the failure speaks of the idle time, not of the server. */
    @Test
    void aConnectionLongIdleIsClosedBeforeUseOnceOneWasDropped() {
        PolicyFixture rig = new PolicyFixture();
        rig.connectionPrice = 0.05;
        rig.start().list(A).request("r0").after(75_000).outcome("r0", 0, "a", AttemptOutcome.OK, 75_000);
        rig.after(2_000_000).request("r1").after(1_000).outcome("r1", 0, "a", AttemptOutcome.RESET, 1_000);
        assertEquals("a", rig.sentTo("r1", 1));
        rig.after(75_000).outcome("r1", 1, "a", AttemptOutcome.OK, 75_000);
        assertEquals(0, rig.take("close").size());
        rig.after(1_800_000).request("r2");
        assertEquals(1, rig.take("close a").size());
        rig.after(75_000)
                .outcome("r2", 0, "a", AttemptOutcome.OK, 75_000)
                .after(500_000)
                .request("r3");
        assertEquals(1, rig.take("close a").size(), "hardly idle: kept");
    }

    /** A few slow answers say little of the fleet: a server that is idle, as far as known, gets the request. */
    @Test
    void slowAnswersAloneAreNoReasonToRefuseInAnyFleet() {
        for (int sidecars : new int[] {4, 14, 400}) {
            PolicyFixture rig = new PolicyFixture();
            rig.balancers = sidecars;
            rig.reports = LoadReporting.NONE;
            rig.aimUs = 700_000;
            rig.start().list(A, B);
            for (int i = 0; i < 200; i++) {
                rig.actions.clear();
                rig.after(700_000).request("r" + i);
                String to = rig.sentTo("r" + i, 0);
                assertNotNull(to, sidecars + " sidecars, request " + i);
                rig.outcome("r" + i, 0, to, AttemptOutcome.OK, i < 100 ? 100_000 : 300_000);
            }
        }
    }

    /** Fourteen sidecars, each with little traffic of its own, on two servers. */
    private static PolicyFixture oneOfMany() {
        PolicyFixture rig = new PolicyFixture();
        rig.balancers = 14;
        rig.reports = LoadReporting.NONE;
        return rig.start().list(A, B);
    }

    private static void hear(PolicyFixture rig, double rate, double held) {
        GossipMessage word = new GossipMessage(1);
        word.rate = rate;
        word.held = held;
        for (int peer = 1; peer < 14; peer++) {
            rig.policy.onGossip(rig.now, peer, word.bytes());
        }
    }

    /** Of 40 requests that come far apart and are served at once. */
    private static int refused(PolicyFixture rig) {
        rig.actions.clear();
        for (int i = 0; i < 40; i++) {
            String id = "r" + rig.now;
            rig.after(100_000).request(id);
            String to = rig.sentTo(id, 0);
            if (to != null) {
                rig.after(20_000).outcome(id, 0, to, AttemptOutcome.OK, 20_000);
            }
        }
        return rig.take("refuse").size();
    }

    /** Own requests say nothing of a queue that others fill: all would be late, in all sidecars alike. */
    @Test
    void whatAllSidecarsHoldIsShedWhereItCannotBeServedInTime() {
        PolicyFixture rig = oneOfMany();
        assertEquals(0, refused(rig), "nobody has told anything");
        hear(rig, 10, 0.1);
        assertEquals(0, refused(rig), "the servers hold little");
        hear(rig, 100, 20);
        assertEquals(40, refused(rig), "the servers hold far more than they serve within the aim");
        rig.after(10_000_000);
        assertEquals(0, refused(rig), "words age");
    }

    /** Clients wait for a sidecar that restarts: its first request comes at once, and the next as they always do. */
    @Test
    void aFirstRequestRightAfterTheStartTellsNobodyOfAFlood() {
        PolicyFixture rig = new PolicyFixture();
        rig.start().list(A, B);
        rig.after(20).request("first");
        for (int i = 0; i < 10; i++) {
            rig.after(i == 0 ? 99_980 : 100_000).request("r" + i);
            rig.fire("tell");
            assertTrue(
                    rig.lastWord != null && rig.lastWord.rate < 30, "ten a second, and told are " + rig.lastWord.rate);
        }
        assertEquals(10, rig.lastWord.rate, 3);
    }

    /** An own request that waits behind those of 13 others tells of their number, not of a slow server. */
    @Test
    void timeSpentBehindOthersRequestsIsNotLearnedAsSlowness() {
        PolicyFixture rig = oneOfMany();
        for (int i = 0; i < 100; i++) {
            hear(rig, 10, 1);
            String id = "r" + i;
            rig.after(200_000).request(id);
            String to = rig.sentTo(id, 0);
            if (to != null) {
                // 75 ms of work behind 13 others on two servers of two cores: a wait of about three such.
                rig.after(150_000).outcome(id, 0, to, AttemptOutcome.OK, 290_000);
            }
        }
        double slow = rig.policy.endpoints.machineType("k").speedFactor();
        assertTrue(slow > 0.6 && slow < 1.7, "slowness " + slow);
    }

    /** Taken whenever its turn comes, many cold servers got most requests of a fleet, and answered them late. */
    @Test
    void aColdServerGetsItsPartOfTheDrawAndNoMore() {
        int cold = 0;
        for (int seed = 0; seed < 300; seed++) {
            PolicyFixture rig = new PolicyFixture();
            rig.balancers = 14;
            rig.me = seed % 14;
            rig.seed = seed;
            rig.reports = LoadReporting.NONE;
            // Half warm, with three warm servers beside it: a seventh of the capacity.
            rig.start()
                    .list(
                            A,
                            B,
                            PolicyFixture.up("d", "za", 1),
                            new Endpoint("c", "za", "k", 1, rig.now - 12_000_000, 1, EndpointState.READY));
            hear(rig, 8, 0);
            rig.after(200_000).request("r");
            cold += "c".equals(rig.sentTo("r", 0)) ? 1 : 0;
        }
        assertTrue(cold >= 10 && cold <= 90, cold + " of 300");
    }

    /** Cores show in queues alone, which a sidecar of little traffic hardly meets: it takes those of the others. */
    @Test
    void coresAreLearnedFromThoseThatMeetQueues() {
        PolicyFixture rig = oneOfMany();
        GossipMessage word = new GossipMessage(1);
        word.slow[0] = 1;
        word.cores[0] = 4;
        word.answers[0] = 40;
        for (int peer = 1; peer < 14; peer++) {
            rig.policy.onGossip(rig.now, peer, word.bytes());
        }
        double cores = rig.policy.endpoints.machineType("k").cores();
        assertTrue(cores > 3 && cores <= 4, "cores " + cores);
        word.cores[0] = 255;
        rig.policy.onGossip(rig.now, 1, word.bytes());
        assertTrue(rig.policy.endpoints.machineType("k").cores() < 3 * cores, "one false word moves little");
    }

    @Test
    void aPeerIsNotBelievedToHoldMoreThanCanHaveComeToIt() {
        PolicyFixture rig = oneOfMany();
        hear(rig, 0, 60_000);
        assertTrue(refused(rig) < 40);
        rig.after(10_000_000);
        hear(rig, 1, 0);
        assertEquals(0, refused(rig));
    }

    @Test
    void aWordGoesToAllWhereTheTrafficPaysForIt() {
        PolicyFixture rig = oneOfMany();
        for (int i = 0; i < 400; i++) {
            rig.after(5_000).request("r" + i);
        }
        rig.fire("tell");
        assertTrue(
                rig.take("tell").get(0).startsWith("tell -1 "), rig.take("tell").toString());
        assertEquals(1, rig.take("tell").size());
    }

    // ---- loads asked by probes ------------------------------------------------------------------

    private static PolicyFixture sampling() {
        PolicyFixture rig = new PolicyFixture();
        rig.probing = true;
        return rig.start().list(A, B);
    }

    @Test
    void bothDrawnAreAskedForTheirLoadAndTheLessBusyIsTaken() {
        PolicyFixture rig = sampling().request("r");
        assertEquals(2, rig.take("probe").size());
        assertNull(rig.sentTo("r", 0));
        rig.after(1_000);
        rig.policy.onHealthCheck(rig.now, "a", AttemptOutcome.OK, 1_000, new LoadReport(2, 1, 1));
        rig.policy.onHealthCheck(rig.now, "b", AttemptOutcome.OK, 1_000, new LoadReport(0, 0, 0));
        assertEquals("b", rig.sentTo("r", 0));
    }

    /** A stalled server shows in a probe before any request is lost on it. */
    @Test
    void oneThatDoesNotAnswerByTheNextSweepLoses() {
        PolicyFixture rig = sampling().request("r").after(1_000);
        rig.policy.onHealthCheck(rig.now, "a", AttemptOutcome.OK, 1_000, new LoadReport(0, 0, 0));
        assertNull(rig.sentTo("r", 0));
        rig.after(5_000).fire("hold");
        assertEquals("a", rig.sentTo("r", 0));
    }

    @Test
    void aProbeAnsweredWithoutALoadCountsAsBusy() {
        PolicyFixture rig = sampling().request("r").after(1_000);
        rig.policy.onHealthCheck(rig.now, "a", AttemptOutcome.OK, 1_000, null);
        rig.policy.onHealthCheck(rig.now, "b", AttemptOutcome.OK, 1_000, new LoadReport(1, 0, 1));
        for (int i = 0; i < 3 && rig.sentTo("r", 0) == null; i++) {
            rig.after(5_000);
            rig.policy.onHealthCheck(rig.now, "a", AttemptOutcome.OK, 1_000, null);
            rig.policy.onHealthCheck(rig.now, "b", AttemptOutcome.OK, 1_000, new LoadReport(1, 0, 1));
            rig.fire("hold");
        }
        assertEquals("b", rig.sentTo("r", 0));
    }

    /** One request that got no answer says nothing of a server that has answered later ones. */
    @Test
    void oneSwallowedRequestDoesNotKeepOthersFromAServerThatAnswers() {
        PolicyFixture rig = new PolicyFixture();
        rig.reports = LoadReporting.NONE;
        rig.semantics = Idempotency.NOT_IDEMPOTENT;
        rig.start().list(A).request("swallowed");
        for (int i = 0; i < 30; i++) {
            rig.after(1_000).request("n" + i);
            assertEquals("a", rig.sentTo("n" + i, 0), "request " + i);
            rig.after(24_000).outcome("n" + i, 0, "a", AttemptOutcome.OK, 24_000);
        }
        rig.after(50_000)
                .outcome("swallowed", 0, "a", AttemptOutcome.TIMEOUT, 800_000)
                .request("r")
                .request("s");
        assertEquals("a", rig.sentTo("r", 0));
        assertEquals("a", rig.sentTo("s", 0));
    }

    /** Nothing at all comes back any more: that is a stall, and what is new waits or goes elsewhere. */
    @Test
    void aServerThatStandsStillGetsNothingNew() {
        PolicyFixture rig = new PolicyFixture();
        rig.reports = LoadReporting.NONE;
        rig.start().list(A);
        for (int i = 0; i < 10; i++) {
            rig.request("w" + i).after(24_000).outcome("w" + i, 0, "a", AttemptOutcome.OK, 24_000);
        }
        rig.request("stuck").after(300_000).request("r");
        assertNotNull(rig.sentTo("stuck", 0));
        assertNull(rig.sentTo("r", 0));
    }

    /** A stall shows when an overdue attempt's server says nothing to a probe: the request goes out once more then. */
    @Test
    void anOverdueAttemptIsCopiedOnlyWhereItsServerIsMute() {
        for (boolean mute : new boolean[] {true, false}) {
            for (Idempotency semantics : new Idempotency[] {Idempotency.IDEMPOTENT, Idempotency.NOT_IDEMPOTENT}) {
                PolicyFixture rig = new PolicyFixture();
                rig.probing = rig.secondCopies = true;
                rig.semantics = semantics;
                rig.start().list(A, B);
                for (int i = 0; i < 20; i++) {
                    // Saves up a copy, and tells that both are idle.
                    rig.request("w" + i).after(1_000);
                    for (String id : new String[] {"a", "b"}) {
                        rig.policy.onHealthCheck(rig.now, id, AttemptOutcome.OK, 1_000, new LoadReport(0, 0, 0));
                    }
                    rig.outcome("w" + i, 0, rig.sentTo("w" + i, 0), AttemptOutcome.OK, 50_000);
                }
                rig.request("r").after(1_000);
                for (String id : new String[] {"a", "b"}) {
                    rig.policy.onHealthCheck(rig.now, id, AttemptOutcome.OK, 1_000, new LoadReport(0, 0, 0));
                }
                String slow = rig.sentTo("r", 0);
                rig.actions.clear();
                rig.after(150_000).fire("late:r");
                if (semantics == Idempotency.IDEMPOTENT) {
                    assertEquals(List.of("probe " + slow), rig.take("probe"));
                }
                rig.after(5_000);
                if (!mute) {
                    rig.policy.onHealthCheck(rig.now, slow, AttemptOutcome.OK, 1_000, new LoadReport(1, 0, 1));
                }
                rig.fire("mute:r");
                assertEquals(
                        mute && semantics == Idempotency.IDEMPOTENT ? 1 : 0,
                        rig.take("send r").size());
            }
        }
    }

    /** A sidecar that is all there is knows what its servers hold: asking would cost time and a price for nothing. */
    @Test
    void nobodyIsAskedForALoadThatOthersCanHardlyHaveChanged() {
        PolicyFixture rig = new PolicyFixture();
        rig.probing = true;
        rig.balancers = 1;
        rig.start().list(A, B).request("r").after(1_000);
        rig.policy.onHealthCheck(rig.now, "a", AttemptOutcome.OK, 1_000, new LoadReport(0, 0, 0));
        rig.policy.onHealthCheck(rig.now, "b", AttemptOutcome.OK, 1_000, new LoadReport(0, 0, 0));
        String first = rig.sentTo("r", 0);
        rig.actions.clear();
        rig.after(20_000).request("s");
        assertEquals(0, rig.take("probe").size());
        assertEquals(first.equals("a") ? "b" : "a", rig.sentTo("s", 0));
    }

    /** Where the sidecar itself is slow no probe is answered in time: its requests must not wait for that in vain. */
    @Test
    void whereNobodyTellsAnyLoadTheOwnRequestsDecide() {
        PolicyFixture rig = sampling().request("r").after(5_000).fire("hold");
        String first = rig.sentTo("r", 0);
        assertNotNull(first, "it waits for a word that does not come");
        rig.request("s").after(5_000).fire("hold");
        assertEquals(first.equals("a") ? "b" : "a", rig.sentTo("s", 0));
    }

    /** Answers spoilt on the way from all servers say little of any one: with all left out nothing would be served. */
    @Test
    void failuresThatHitMostServersLeaveNoneOut() {
        PolicyFixture rig = new PolicyFixture().start().list(A, B).request("r");
        for (int attempt = 0; attempt < 2; attempt++) {
            rig.outcome("r", attempt, rig.sentTo("r", attempt), AttemptOutcome.CONNECT_FAILED, 1_000);
        }
        assertEquals(2, rig.take("send").size());
        rig.after(150_000).fire("hold").request("s");
        assertTrue(rig.take("send").size() > 2, "all are left out");
    }

    /** One spoilt answer in a while is the network's; a server that spoils all it answers is left alone. */
    @Test
    void spoiltAnswersWeighHalfAFailure() {
        PolicyFixture rig = new PolicyFixture().start().list(A, B, PolicyFixture.up("c", "zc", 3));
        List<String> spoils = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            rig.request("r" + i);
            for (int attempt = 0; rig.sentTo("r" + i, attempt) != null; attempt++) {
                String to = rig.sentTo("r" + i, attempt);
                spoils.add(to);
                rig.outcome(
                        "r" + i,
                        attempt,
                        to,
                        to.equals("a") ? AttemptOutcome.MALFORMED_RESPONSE : AttemptOutcome.OK,
                        75_000);
            }
            rig.after(10_000);
        }
        long onA = spoils.stream().filter("a"::equals).count();
        assertTrue(onA >= 4 && onA <= 5, onA + " of " + spoils.size());
    }

    /** No other upstream would like it better, and none is to blame. */
    @Test
    void aRequestThatIsNoGoodIsFailedAndTriedNowhereElse() {
        PolicyFixture rig = new PolicyFixture().start().list(A, B);
        for (int i = 0; i < 6; i++) {
            rig.request("r" + i).outcome("r" + i, 0, rig.sentTo("r" + i, 0), AttemptOutcome.INVALID_REQUEST, 1_000);
            assertNull(rig.sentTo("r" + i, 1));
        }
        assertEquals(6, rig.take("fail").size());
        assertEquals(
                2,
                rig.take("send").stream().map(l -> l.split(" ")[2]).distinct().count());
    }

    /** Replaced under ever new ids, servers that are gone would fill the memory over a long day. */
    @Test
    void aServerThatIsGoneIsForgottenAfterItsLastAttempt() {
        PolicyFixture rig = new PolicyFixture().start().list(A);
        rig.request("r");
        for (int i = 0; i < 50; i++) {
            rig.policy.onEndpointList(
                    rig.now,
                    EndpointListType.DELTA,
                    List.of(
                            PolicyFixture.up("n" + i, "za", 1),
                            state(i == 0 ? A : PolicyFixture.up("n" + (i - 1), "za", 1), EndpointState.REMOVED)));
        }
        assertEquals(2, rig.policy.endpoints.size());
        rig.outcome("r", 0, "a", AttemptOutcome.OK, 1_000);
        assertEquals(1, rig.policy.endpoints.size());
        rig.list(B);
        assertEquals(1, rig.policy.endpoints.size());
    }

    // ---- the ordinary path ----------------------------------------------------------------------

    @Test
    void theLessBusyOfTwoWins() {
        PolicyFixture rig = new PolicyFixture().start().list(A, B);
        rig.request("r1").request("r2");
        assertNotEquals(rig.sentTo("r1", 0), rig.sentTo("r2", 0));
    }

    @Test
    void drawsFollowTheShares() {
        // Equal servers, all idle: each is drawn alike.
        PolicyFixture rig =
                new PolicyFixture().start().list(A, B, PolicyFixture.up("c", "zc", 3), PolicyFixture.up("d", "zc", 4));
        int[] count = new int[4];
        for (int i = 0; i < 4000; i++) {
            rig.after(1_000).request("r" + i);
            String to = rig.sentTo("r" + i, 0);
            count[to.charAt(0) - 'a']++;
            rig.outcome("r" + i, 0, to, AttemptOutcome.OK, 75_000);
            rig.actions.clear();
        }
        for (int c : count) {
            assertTrue(c > 800 && c < 1200, "" + c);
        }
    }

    @Test
    void tiesGoByUnequalShares() {
        PolicyFixture rig = new PolicyFixture().start().list(A, B).request("first");
        rig.outcome("first", 0, rig.sentTo("first", 0), AttemptOutcome.OK, 75_000);
        rig.policy.endpoints.find("a").setRoutingWeight(0.75);
        rig.policy.endpoints.find("b").setRoutingWeight(0.25);
        int toA = 0;
        for (int i = 0; i < 4000; i++) {
            rig.actions.clear();
            rig.request("r" + i);
            String to = rig.sentTo("r" + i, 0);
            toA += to.equals("a") ? 1 : 0;
            rig.outcome("r" + i, 0, to, AttemptOutcome.OK, 75_000);
        }
        assertTrue(toA > 2900 && toA < 3100, "" + toA);
    }

    /** Messages may be lost, repeated or false: they only move the fleet rate's estimate. */
    @Test
    void inAFleetTooQuietForItsPriceAWordGoesToOneAtATime() {
        PolicyFixture rig = new PolicyFixture();
        rig.balancers = 500;
        rig.start().list(A, B).fire("tell");
        assertEquals(1, rig.take("tell").size());
        assertFalse(rig.take("tell").get(0).startsWith("tell -1"));
        assertFalse(rig.take("tell").get(0).startsWith("tell 0 "));
        rig.after(1_000_000).fire("tell");
        assertEquals(2, rig.take("tell").size());
    }

    /** A kind's speed once added up its servers' steps and drifted without bound; cores stuck at the guess. */
    @Test
    void speedsAndCoresAreFoundFromAnswersAlone() {
        PolicyFixture rig = new PolicyFixture();
        rig.reports = LoadReporting.NONE;
        rig.aimUs = 4_000_000;
        rig.start().list(A);
        long[] freeAt = new long[4];
        List<long[]> due = new ArrayList<>();
        int next = 0;
        for (long t = 0; t < 120_000; t++) {
            rig.after(1_000);
            if (t % 15 == 0) {
                rig.policy.onRequest(rig.now, new Request("r" + next, -1, false, false, 100_000, 4_000_000, null, "c"));
                next++;
            }
            rig.fire("hold");
            for (String send : rig.take("send")) {
                int core = 0;
                for (int c = 1; c < 4; c++) {
                    core = freeAt[c] < freeAt[core] ? c : core;
                }
                freeAt[core] = Math.max(freeAt[core], rig.now) + 50_000;
                due.add(new long[] {freeAt[core], Long.parseLong(send.split(" ")[1].substring(1)), rig.now});
            }
            rig.actions.clear();
            for (int i = 0; i < due.size(); i++) {
                long[] d = due.get(i);
                if (d[0] <= rig.now) {
                    due.remove(i--);
                    rig.outcome("r" + d[1], 0, "a", AttemptOutcome.OK, rig.now - d[2]);
                }
            }
        }
        double slow = rig.policy.endpoints.find("a").speedFactor();
        double cores = rig.policy.endpoints.machineType("k").cores();
        assertTrue(cores > 2.5 && cores < 5, "" + cores);
        // Four cores at twice the standard speed: what counts is what they can do together.
        assertTrue(cores / slow > 6.5 && cores / slow < 9.5, cores + " cores, slowness " + slow);
    }

    /** A drain that the list has not told yet shows as refusals by a server that holds little. */
    @Test
    void refusalsByAnIdleServerLeaveItAlone() {
        staysAwayAfter(AttemptOutcome.REJECTED, 30_000);
    }

    /** It serves the rest: left alone for seconds after each refusal it would serve next to nothing. */
    @Test
    void aServerThatTurnsAPartAwayIsNotLeftAlone() {
        PolicyFixture rig = new PolicyFixture();
        rig.reports = LoadReporting.NONE;
        rig.start().list(A, B, PolicyFixture.up("c", "zc", 3));
        int sent = 0;
        for (int i = 0; i < 60; i++) {
            String[] ids = {"x" + i, "y" + i, "z" + i};
            for (String id : ids) {
                rig.request(id);
            }
            rig.after(5_000);
            for (String id : ids) {
                // Every other request to it is turned away.
                if (rig.sentTo(id, 0).equals("a") && sent++ % 2 == 1) {
                    rig.outcome(id, 0, "a", AttemptOutcome.REJECTED, 5_000);
                }
            }
            rig.after(24_000);
            for (String id : ids) {
                int last = rig.take("send " + id + " ").size() - 1;
                rig.outcome(id, last, rig.sentTo(id, last), AttemptOutcome.OK, 24_000);
            }
        }
        assertTrue(sent >= 30, "only " + sent + " of 180 were sent to it");
    }

    private static void staysAwayAfter(AttemptOutcome outcome, long stepUs) {
        PolicyFixture rig = new PolicyFixture().start().list(A, B).request("r").after(1_000);
        String left = rig.sentTo("r", 0);
        rig.outcome("r", 0, left, outcome, 1_000);
        rig.outcome("r", 1, rig.sentTo("r", 1), AttemptOutcome.OK, 50_000);
        for (int i = 0; i < 10; i++) {
            rig.after(stepUs).request("n" + i);
            assertNotNull(rig.sentTo("n" + i, 0));
            assertNotEquals(left, rig.sentTo("n" + i, 0));
            rig.outcome("n" + i, 0, rig.sentTo("n" + i, 0), AttemptOutcome.OK, 50_000);
        }
    }

    @Test
    void whereCrossingHasAPriceAShortQueueInTheOwnZoneComesFirst() {
        PolicyFixture rig = new PolicyFixture();
        rig.crossZonePrice = 0.08;
        rig.reports = LoadReporting.NONE;
        rig.start().list(A, B);
        for (int i = 0; i < 3; i++) {
            rig.request("r" + i);
            assertEquals("a", rig.sentTo("r" + i, 0));
        }
        rig.request("over");
        assertEquals("b", rig.sentTo("over", 0));
    }

    @Test
    void damagedPeerMessagesAreIgnored() {
        PolicyFixture rig = new PolicyFixture().start().list(A);
        rig.policy.onGossip(rig.now, 9, new byte[] {1, 2, 3, 4, 5});
        rig.policy.onGossip(rig.now, 1, new byte[] {1});
        rig.policy.onGossip(rig.now, 1, new byte[] {1, 2, 3, 4});
        rig.request("r");
        assertEquals("a", rig.sentTo("r", 0));
    }

    @Test
    void aRefusedConnectionLeavesTheServerAloneForAWhile() {
        staysAwayAfter(AttemptOutcome.CONNECT_FAILED, 1_000);
    }

    /** On a bad network connections break young; that its process died shows in the next ones. */
    @Test
    void oneBrokenConnectionDoesNotKeepRequestsFromAServerThatAnswers() {
        PolicyFixture rig = new PolicyFixture();
        rig.reports = LoadReporting.NONE;
        rig.start().list(A);
        for (int i = 0; i < 10; i++) {
            rig.request("w" + i).after(24_000).outcome("w" + i, 0, "a", AttemptOutcome.OK, 24_000);
        }
        rig.request("r").after(1_000).outcome("r", 0, "a", AttemptOutcome.CONNECT_FAILED, 1_000);
        assertEquals("a", rig.sentTo("r", 1));
        for (int i = 1; i <= 3; i++) {
            rig.after(1_000).outcome("r", i, "a", AttemptOutcome.CONNECT_FAILED, 1_000);
        }
        assertNull(rig.sentTo("r", 4));
    }

    @Test
    void aFullServerLeavesTheDrawByItsOwnWord() {
        PolicyFixture rig = new PolicyFixture().start().list(A, B).request("r");
        String to = rig.sentTo("r", 0);
        rig.policy.onAttemptOutcome(
                rig.now, new AttemptResult("r", 0, to, AttemptOutcome.OK, 50_000, true, new LoadReport(9, 8, 1)));
        for (int i = 0; i < 3; i++) {
            rig.request("n" + i);
            assertNotEquals(to, rig.sentTo("n" + i, 0));
        }
    }

    // ---- settings -------------------------------------------------------------------------------

    /** An open request keeps its class, whatever becomes of it; the next ones find what holds now. */
    @Test
    void otherSettingsHoldForWhatComesNextAndOpenRequestsGoOn() {
        PolicyFixture rig = new PolicyFixture();
        rig.semantics = Idempotency.NOT_IDEMPOTENT;
        rig.start().list(A, B).request("old");
        PolicyFixture safe = new PolicyFixture();
        safe.maxAttempts = 2;
        safe.balancers = 30;
        rig.policy.onSettings(rig.now, safe.start().policySettings);
        rig.after(10_000).outcome("old", 0, rig.sentTo("old", 0), AttemptOutcome.RESET, 10_000);
        assertEquals(List.of("fail old"), rig.take("fail old"), "it may have run, and its class may not be repeated");
        rig.request("new");
        for (int i = 0; i < 2; i++) {
            rig.after(10_000).outcome("new", i, rig.sentTo("new", i), AttemptOutcome.RESET, 10_000);
        }
        assertEquals(2, rig.take("send new").size(), "safe now, with two attempts");
        assertEquals(1, rig.take("fail new").size());
        rig.policy.onGossip(rig.now, 29, word(1).bytes());
        rig.after(1_000_000).fire("tell");
        assertTrue(rig.take("tell").stream().allMatch(t -> Integer.parseInt(t.split(" ")[1]) < 30));
    }

    private static GossipMessage word(int kinds) {
        GossipMessage word = new GossipMessage(kinds);
        word.rate = 3;
        return word;
    }

    // ---- discovery ------------------------------------------------------------------------------

    @Test
    void subscribesAtOnceAndAsksAgainAfterAFailure() {
        PolicyFixture rig = new PolicyFixture();
        rig.onRequest = true;
        rig.start();
        assertEquals(1, rig.take("subscribe").size());
        rig.policy.onEndpointList(rig.now, EndpointListType.FAILED, List.of());
        assertEquals(1, rig.take("timer ask").size());
        rig.after(2_000_000).fire("ask");
        assertEquals(2, rig.take("subscribe").size());
        rig.policy.onEndpointList(rig.now, EndpointListType.FULL, List.of(A));
        rig.fire("ask");
        assertEquals(2, rig.take("subscribe").size());
    }

    // ---- determinism and isolation --------------------------------------------------------------

    /** A change counts as told 6 s after discovery could be reached: 2.5 s for a call given up just then are in it. */
    @Test
    void howeverLongDiscoveryWasAwayTheNextCallComesInTime() {
        for (int seed = 0; seed < 20; seed++) {
            PolicyFixture rig = new PolicyFixture();
            rig.onRequest = true;
            rig.seed = seed;
            rig.start();
            for (int failures = 0; failures < 30; failures++) {
                rig.actions.clear();
                rig.policy.onEndpointList(rig.now, EndpointListType.FAILED, List.of());
                long pauseUs = Long.parseLong(rig.take("timer ask ").get(0).split(" ")[2]);
                assertTrue(pauseUs >= 250_000 && pauseUs <= 1_500_000, "asks again after " + pauseUs + " us");
                rig.after(pauseUs).fire("ask");
                assertEquals(1, rig.take("subscribe").size());
            }
        }
    }

    private static void play(PolicyFixture rig, int from, int to) {
        for (int i = from; i < to; i++) {
            rig.after(3_000).request("r" + i);
            if (i % 3 == 0 && rig.sentTo("r" + i, 0) != null) {
                rig.outcome(
                        "r" + i,
                        0,
                        rig.sentTo("r" + i, 0),
                        i % 9 == 0 ? AttemptOutcome.ERROR : AttemptOutcome.OK,
                        70_000);
            }
            rig.fire("hold");
        }
    }

    @Test
    void theSameEventsGiveTheSameActionsWhateverRunsBeside() {
        PolicyFixture alone = new PolicyFixture().start().list(A, B);
        play(alone, 0, 200);
        PolicyFixture one = new PolicyFixture().start().list(A, B);
        PolicyFixture two = new PolicyFixture().start().list(A, B, PolicyFixture.up("c", "zc", 3));
        for (int i = 0; i < 200; i += 10) {
            play(one, i, i + 10);
            play(two, i, i + 10);
        }
        assertEquals(alone.actions, one.actions);
        assertFalse(new ArrayList<>(one.actions).equals(two.actions));
    }
}
