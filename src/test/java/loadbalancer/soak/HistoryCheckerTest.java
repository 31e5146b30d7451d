package loadbalancer.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import loadbalancer.soak.History.ClientOutcome;
import loadbalancer.soak.History.ClientRequest;
import loadbalancer.soak.History.DiscoveryTrouble;
import loadbalancer.soak.History.DiscoveryTroubleType;
import loadbalancer.soak.History.EndpointCall;
import loadbalancer.soak.History.FaultLine;
import loadbalancer.soak.History.ListChange;
import loadbalancer.soak.History.ListDelivery;
import loadbalancer.soak.History.ListedState;
import loadbalancer.soak.History.ProcessEvent;
import loadbalancer.soak.History.ProcessEventType;
import loadbalancer.soak.History.RepeatedId;
import loadbalancer.soak.History.ResourceSample;
import loadbalancer.soak.History.StalledClient;
import loadbalancer.soak.RequestKind.Idempotency;
import loadbalancer.soak.Violation.Rule;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each rule finds a record that breaks it just beyond its slack, and accepts one just within. */
class HistoryCheckerTest {
    private static final long SECOND = 1_000_000;
    private static final long SENT = 10 * SECOND;
    private static final long REMAINING = SECOND;
    private static final int PROCESS = 1;
    private static final int SIDECAR = 0;
    private static final RequestKind SAFE = new RequestKind("lookup", Idempotency.SAFE, 1, 20_000, SECOND);
    private static final RequestKind KEYED = new RequestKind("submit", Idempotency.KEYED, 1, 20_000, SECOND);
    private static final RequestKind UNSAFE = new RequestKind("issue", Idempotency.UNSAFE, 1, 20_000, SECOND);
    private static final SoakSettings SETTINGS = settings(true, true, true);

    private History history;

    private static SoakSettings settings(boolean pushed, boolean cellScope, boolean secondCopies) {
        return new SoakSettings(
                2, 4, pushed, cellScope, secondCopies, 6 * SECOND, SECOND, 0.2, List.of(SAFE, KEYED, UNSAFE));
    }

    @BeforeEach
    void startProcess() {
        history = new History();
        processEvent(ProcessEventType.STARTED, 0, 0);
        processEvent(ProcessEventType.READY, SECOND, 0);
    }

    private void processEvent(ProcessEventType type, long atMicros, int exitCode) {
        history.processEvents.add(new ProcessEvent(PROCESS, SIDECAR, type, atMicros, exitCode));
    }

    private void request(RequestKind kind, ClientOutcome outcome, long endedMicros, int status, String body) {
        request(kind, true, outcome, endedMicros, status, body);
    }

    private void request(
            RequestKind kind, boolean newConnection, ClientOutcome outcome, long ended, int status, String body) {
        // The deadline of a keyed request lies beyond the deduplication window.
        long remaining = kind == KEYED ? 2 * SoakSettings.DEDUPLICATION_WINDOW_MICROS : REMAINING;
        history.sentRequestIds.add("r");
        history.clientRequests.add(
                new ClientRequest("r", kind, PROCESS, 1, newConnection, SENT, remaining, outcome, ended, status, body));
    }

    private void served(RequestKind kind) {
        history.endpointBodies.add("r e0 1");
        request(kind, ClientOutcome.RESPONSE, SENT + 100_000, 200, "r e0 1");
    }

    private void call(String endpoint, int cell, long takenMicros, long endedMicros, boolean executed) {
        history.endpointCalls.add(
                new EndpointCall("r", endpoint, cell, 0, PROCESS, takenMicros, takenMicros, 0, executed, endedMicros));
    }

    private void callOfOther(String id, String endpoint, long startedMicros, long atMicros) {
        history.sentRequestIds.add(id);
        history.endpointCalls.add(new EndpointCall(
                id, endpoint, 0, startedMicros, PROCESS, atMicros, atMicros, 0, true, atMicros + 10_000));
    }

    private void assertRules(SoakSettings settings, Rule... rules) {
        List<Rule> found = HistoryChecker.check(history, settings).stream()
                .map(Violation::rule)
                .distinct()
                .toList();
        assertEquals(List.of(rules), found);
        startProcess();
    }

    private void assertRules(Rule... rules) {
        assertRules(SETTINGS, rules);
    }

    @Test
    void findsLateAndMissingResponses() {
        long limit = SENT + REMAINING + 500_000;
        request(SAFE, ClientOutcome.RESPONSE, limit, 502, "");
        assertRules();
        request(SAFE, ClientOutcome.RESPONSE, limit + 1, 502, "");
        assertRules(Rule.LOST);
        request(SAFE, ClientOutcome.PENDING, limit, 0, "");
        assertRules();
        request(SAFE, ClientOutcome.PENDING, limit + 1, 0, "");
        assertRules(Rule.LOST);
    }

    @Test
    void findsCloseWithoutResponse() {
        request(SAFE, ClientOutcome.CONNECTION_CLOSED, SENT + 1, 0, "");
        assertRules(Rule.LOST);
        request(SAFE, false, ClientOutcome.CONNECTION_CLOSED, SENT + 1, 0, "");
        assertRules();
        request(SAFE, false, ClientOutcome.CONNECTION_CLOSED, SENT + 1, 0, "");
        call("e0", 0, SENT, SENT + 1, true);
        assertRules(Rule.LOST);
        request(SAFE, ClientOutcome.CONNECTION_CLOSED, SENT + 1, 0, "");
        processEvent(ProcessEventType.KILL_SENT, SENT, 0);
        assertRules();
        request(SAFE, ClientOutcome.CONNECTION_CLOSED, SENT + 2, 0, "");
        processEvent(ProcessEventType.TERMINATE_SENT, SENT, 0);
        processEvent(ProcessEventType.KILL_SENT, SENT + 1, 0);
        assertRules(Rule.LOST);
    }

    @Test
    void findsBodyThatNoEndpointHasWritten() {
        served(SAFE);
        assertRules();
        request(SAFE, ClientOutcome.RESPONSE, SENT + 1, 200, "r e0 2");
        assertRules(Rule.WRONG_RESPONSE);
        history.endpointBodies.add("other e0 1");
        request(SAFE, ClientOutcome.RESPONSE, SENT + 1, 200, "other e0 1");
        assertRules(Rule.WRONG_RESPONSE);
    }

    @Test
    void findsIdThatRunsAgainAfterItsClientHasLeft() {
        request(SAFE, ClientOutcome.CLIENT_LEFT, SENT + 50_000, 0, "");
        call("e0", 0, SENT, SENT + 10, true);
        history.repeatedIds.add(new RepeatedId("r", PROCESS, SENT + 120_000));
        assertRules();
        request(SAFE, ClientOutcome.CLIENT_LEFT, SENT + 50_000, 0, "");
        call("e0", 0, SENT, SENT + 10, true);
        call("e1", 0, SENT + 140_000, SENT + 150_000, true);
        history.repeatedIds.add(new RepeatedId("r", PROCESS, SENT + 140_000));
        assertRules();
        request(SAFE, ClientOutcome.CLIENT_LEFT, SENT + 50_000, 0, "");
        call("e0", 0, SENT, SENT + 10, true);
        call("e1", 0, SENT + 140_000, SENT + 150_000, true);
        history.repeatedIds.add(new RepeatedId("r", PROCESS, SENT + 139_999));
        assertRules(Rule.DUPLICATE);
    }

    @Test
    void findsRepeatsThatTheClassForbids() {
        served(UNSAFE);
        call("e0", 0, SENT, SENT + 10, false);
        call("e1", 1, SENT + 20, SENT + 30, true);
        assertRules();
        served(UNSAFE);
        call("e0", 0, SENT, SENT + 10, true);
        call("e1", 0, SENT + 20, SENT + 30, false);
        assertRules(Rule.DUPLICATE);
        served(SAFE);
        call("e0", 0, SENT, SENT + 10, true);
        call("e1", 1, SENT + 20, SENT + 30, true);
        assertRules();
        callOfOther("unknown", "e0", 0, SENT);
        history.sentRequestIds.remove("unknown");
        assertRules(Rule.DUPLICATE);
    }

    @Test
    void findsKeyedRepeatsOutsideCellAndWindow() {
        long window = SoakSettings.DEDUPLICATION_WINDOW_MICROS + 50_000;
        served(KEYED);
        call("e0", 0, SENT, SENT + 10, true);
        call("e2", 0, SENT + window, SENT + window + 1, true);
        assertRules();
        served(KEYED);
        call("e0", 0, SENT, SENT + 10, true);
        call("e2", 0, SENT + window + 1, SENT + window + 2, true);
        assertRules(Rule.DUPLICATE);
        served(KEYED);
        call("e0", 0, SENT, SENT + 10, true);
        call("e1", 1, SENT + 20, SENT + 30, true);
        assertRules(Rule.DUPLICATE);
        served(KEYED);
        call("e0", 0, SENT, SENT + 10, true);
        call("e1", 1, SENT + 20, SENT + 30, true);
        assertRules(settings(true, false, true));
    }

    @Test
    void findsSecondCopiesAndTooManyAttempts() {
        served(SAFE);
        call("e0", 0, SENT, SENT + 10, true);
        call("e1", 0, SENT + 9, SENT + 30, true);
        assertRules(settings(true, true, false), Rule.DUPLICATE);
        served(SAFE);
        call("e0", 0, SENT, SENT + 10, true);
        call("e1", 0, SENT + 10, SENT + 30, true);
        assertRules(settings(true, true, false));
        served(SAFE);
        for (int i = 0; i <= SoakSettings.MAX_ATTEMPTS; i++) {
            call("e0", 0, SENT + 10 * i, SENT + 10 * i + 5, false);
        }
        assertRules(Rule.DUPLICATE);
    }

    @Test
    void findsRefusalAfterExecution() {
        request(UNSAFE, ClientOutcome.RESPONSE, SENT + 50, 503, "");
        call("e0", 0, SENT, SENT + 10, false);
        assertRules();
        request(UNSAFE, ClientOutcome.RESPONSE, SENT + 50, 503, "");
        call("e0", 0, SENT, SENT + 10, true);
        assertRules(Rule.REFUSAL);
        request(KEYED, ClientOutcome.RESPONSE, SENT + 50, 429, "");
        call("e0", 0, SENT, SENT + 10, true);
        assertRules(Rule.REFUSAL);
        request(KEYED, ClientOutcome.RESPONSE, SENT + 50, 429, "");
        call("e0", 0, SENT, SENT + 10, true);
        assertRules(settings(true, false, true));
        request(UNSAFE, ClientOutcome.RESPONSE, SENT + 50, 502, "");
        call("e0", 0, SENT, SENT + 10, true);
        assertRules();
    }

    private void change(String endpoint, ListedState state, long generation, long learnedMicros) {
        history.listChanges.add(new ListChange(SIDECAR, generation, endpoint, state, 0, learnedMicros));
    }

    @Test
    void findsCallsToDrainingAndRemovedEndpoints() {
        long limit = 20 * SECOND + 250_000 + 50_000;
        for (ListedState state : List.of(ListedState.DRAINING, ListedState.GONE)) {
            change("e0", state, 2, 20 * SECOND);
            callOfOther("a", "e0", 0, limit);
            callOfOther("b", "e1", 0, limit + 1);
            assertRules();
            change("e0", state, 2, 20 * SECOND);
            callOfOther("a", "e0", 0, limit + 1);
            assertRules(Rule.DRAIN);
        }
        change("e0", ListedState.DRAINING, 2, 20 * SECOND);
        change("e0", ListedState.GONE, 3, 22 * SECOND);
        callOfOther("a", "e0", 0, 22 * SECOND + 1);
        assertRules(Rule.DRAIN);
        change("e0", ListedState.DRAINING, 2, 20 * SECOND);
        change("e0", ListedState.READY, 3, 22 * SECOND);
        callOfOther("a", "e0", 0, 22 * SECOND);
        assertRules();
    }

    @Test
    void countsNotificationAfterTroubleAndReload() {
        long grace = 300_000;
        change("e0", ListedState.GONE, 2, 20 * SECOND);
        history.discoveryTroubles.add(
                new DiscoveryTrouble(SIDECAR, DiscoveryTroubleType.UNREACHABLE, 19 * SECOND, 21 * SECOND));
        callOfOther("a", "e0", 0, 27 * SECOND + grace);
        assertRules();
        change("e0", ListedState.GONE, 2, 20 * SECOND);
        history.discoveryTroubles.add(
                new DiscoveryTrouble(SIDECAR, DiscoveryTroubleType.UNREACHABLE, 19 * SECOND, 21 * SECOND));
        callOfOther("a", "e0", 0, 27 * SECOND + grace + 1);
        assertRules(Rule.DRAIN);
        change("e0", ListedState.GONE, 2, 20 * SECOND);
        history.discoveryTroubles.add(
                new DiscoveryTrouble(SIDECAR, DiscoveryTroubleType.UNREACHABLE, 19 * SECOND, 21 * SECOND));
        history.listDeliveries.add(new ListDelivery(PROCESS, 2, 22 * SECOND));
        callOfOther("a", "e0", 0, 22 * SECOND + grace + 1);
        assertRules(Rule.DRAIN);
        change("e0", ListedState.GONE, 2, 20 * SECOND);
        processEvent(ProcessEventType.HANG_UP_SENT, 19 * SECOND, 0);
        callOfOther("a", "e0", 0, 23 * SECOND + grace);
        assertRules();
        change("e0", ListedState.GONE, 2, 20 * SECOND);
        processEvent(ProcessEventType.HANG_UP_SENT, 19 * SECOND, 0);
        callOfOther("a", "e0", 0, 23 * SECOND + grace + 1);
        assertRules(Rule.DRAIN);
        change("e0", ListedState.GONE, 2, 20 * SECOND);
        callOfOther("a", "e0", 0, 26 * SECOND + grace);
        assertRules(settings(false, true, true));
        change("e0", ListedState.GONE, 2, 20 * SECOND);
        callOfOther("a", "e0", 0, 26 * SECOND + grace + 1);
        assertRules(settings(false, true, true), Rule.DRAIN);
    }

    @Test
    void countsNotificationBySlowDiscovery() {
        long grace = 300_000;
        DiscoveryTrouble slowness = new DiscoveryTrouble(SIDECAR, DiscoveryTroubleType.SLOW, -2 * SECOND, 30 * SECOND);
        change("e0", ListedState.DRAINING, 2, 20 * SECOND);
        history.discoveryTroubles.add(slowness);
        callOfOther("a", "e0", 0, 26 * SECOND + grace);
        assertRules();
        change("e0", ListedState.DRAINING, 2, 20 * SECOND);
        history.discoveryTroubles.add(slowness);
        callOfOther("a", "e0", 0, 26 * SECOND + grace + 1);
        assertRules(Rule.DRAIN);
        change("e0", ListedState.DRAINING, 2, 20 * SECOND);
        history.discoveryTroubles.add(slowness);
        history.listDeliveries.add(new ListDelivery(PROCESS, 2, 22 * SECOND));
        callOfOther("a", "e0", 0, 22 * SECOND + grace + 1);
        assertRules(Rule.DRAIN);
        // The agent had this change before the process started.
        change("e0", ListedState.DRAINING, 2, -SECOND);
        history.discoveryTroubles.add(slowness);
        callOfOther("a", "e0", 0, grace);
        assertRules();
        change("e0", ListedState.DRAINING, 2, -SECOND);
        history.discoveryTroubles.add(slowness);
        callOfOther("a", "e0", 0, grace + 1);
        assertRules(Rule.DRAIN);
    }

    @Test
    void extendsLimitsByLongStopsOnly() {
        long limit = 20 * SECOND + 300_000;
        change("e0", ListedState.GONE, 2, 20 * SECOND);
        stop(20 * SECOND, 400_000);
        callOfOther("a", "e0", 0, limit + 400_000);
        assertRules();
        change("e0", ListedState.GONE, 2, 20 * SECOND);
        stop(20 * SECOND, 150_000);
        callOfOther("a", "e0", 0, limit + 1);
        assertRules(Rule.DRAIN);
    }

    /** By the kernel's account, the process could not run; another process has no excuse for that. */
    @Test
    void extendsLimitsByWaitsForProcessor() {
        long limit = 20 * SECOND + 300_000;
        for (long tooLate : new long[] {0, 1}) {
            change("e0", ListedState.GONE, 2, 20 * SECOND);
            history.processorWaits.add(
                    new History.ProcessorWait(PROCESS, 20 * SECOND + 50_000, 20 * SECOND + 100_000, 40_000));
            history.processorWaits.add(
                    new History.ProcessorWait(PROCESS + 1, 20 * SECOND + 50_000, 20 * SECOND + 100_000, 40_000));
            history.processorWaits.add(new History.ProcessorWait(PROCESS, 18 * SECOND, 19 * SECOND, 40_000));
            callOfOther("a", "e0", 0, limit + 40_000 + tooLate);
            assertRules(tooLate > 0 ? new Rule[] {Rule.DRAIN} : new Rule[0]);
        }
    }

    /** The first continue signal ends both stops. */
    @Test
    void countsOverlappingStopsOnce() {
        long limit = 20 * SECOND + 300_000;
        for (long tooLate : new long[] {0, 1}) {
            change("e0", ListedState.GONE, 2, 20 * SECOND);
            processEvent(ProcessEventType.STOP_SENT, 20 * SECOND, 0);
            processEvent(ProcessEventType.STOP_SENT, 20 * SECOND + 350_000, 0);
            processEvent(ProcessEventType.CONTINUE_SENT, 20 * SECOND + 400_000, 0);
            processEvent(ProcessEventType.CONTINUE_SENT, 20 * SECOND + 900_000, 0);
            callOfOther("a", "e0", 0, limit + 400_000 + tooLate);
            assertRules(tooLate > 0 ? new Rule[] {Rule.DRAIN} : new Rule[0]);
        }
    }

    private void stop(long atMicros, long lengthMicros) {
        processEvent(ProcessEventType.STOP_SENT, atMicros, 0);
        processEvent(ProcessEventType.CONTINUE_SENT, atMicros + lengthMicros, 0);
    }

    @Test
    void findsOverloadInSlowStart() {
        long started = 20 * SECOND;
        int allowed = (int) SlowStartCheck.allowedRequests(SETTINGS, 500_000);
        // 3 times 3 cores at a ratio of 0.2667, over 1 s, with 20 ms of work: 120, plus 2 roots, plus 2.
        assertEquals(143, allowed);
        for (int requests : new int[] {allowed, allowed + 1}) {
            history.listChanges.add(new ListChange(SIDECAR, 2, "e0", ListedState.READY, started, started));
            history.listDeliveries.add(new ListDelivery(PROCESS, 2, started));
            for (int i = 0; i < requests; i++) {
                callOfOther("a" + i, "e0", started, started + 500_000);
            }
            assertRules(requests > allowed ? new Rule[] {Rule.SLOW_START} : new Rule[0]);
        }
        for (int i = 0; i <= allowed; i++) {
            callOfOther("a" + i, "e0", started, started + 500_000);
        }
        assertRules();
    }

    @Test
    void findsDeadlineBeyondWhatIsLeft() {
        for (long tooMuch : new long[] {0, 1}) {
            served(SAFE);
            long leftMicros = REMAINING - 300_000;
            history.endpointCalls.add(new EndpointCall(
                    "r",
                    "e0",
                    0,
                    0,
                    PROCESS,
                    SENT + 300_000,
                    SENT + 300_000,
                    leftMicros + 150_000 + tooMuch,
                    true,
                    SENT + 400_000));
            assertRules(tooMuch > 0 ? new Rule[] {Rule.DEADLINE} : new Rule[0]);
        }
    }

    @Test
    void findsAttemptAfterClientLeft() {
        request(SAFE, ClientOutcome.CLIENT_LEFT, SENT + 10, 0, "");
        call("e0", 0, SENT + 10 + 100_000, SENT + 200_000, true);
        assertRules();
        request(SAFE, ClientOutcome.CLIENT_LEFT, SENT + 10, 0, "");
        call("e0", 0, SENT + 10 + 100_001, SENT + 200_000, true);
        assertRules(Rule.DISCONNECT);
    }

    @Test
    void findsStalledClientWithoutError() {
        history.stalledClients.add(new StalledClient(PROCESS, SENT, SENT + 3 * SECOND + 50_000));
        assertRules();
        history.stalledClients.add(new StalledClient(PROCESS, SENT, SENT + 3 * SECOND + 50_001));
        assertRules(Rule.STALLED_CLIENT);
    }

    @Test
    void findsCrashesAndFaultLines() {
        processEvent(ProcessEventType.EXITED, SENT, 1);
        assertRules(Rule.PROCESS);
        processEvent(ProcessEventType.TERMINATE_SENT, SENT, 0);
        processEvent(ProcessEventType.EXITED, SENT + 1, 0);
        assertRules();
        processEvent(ProcessEventType.TERMINATE_SENT, SENT, 0);
        processEvent(ProcessEventType.EXITED, SENT + 1, 143);
        assertRules(Rule.PROCESS);
        history.faultLines.add(new FaultLine(PROCESS, "load-balancer: task_failed"));
        assertRules(Rule.PROCESS);
    }

    @Test
    void findsStartThatTakesTooLong() {
        for (long tooLong : new long[] {0, 1}) {
            history.processEvents.clear();
            processEvent(ProcessEventType.STARTED, 0, 0);
            processEvent(ProcessEventType.READY, 10 * SECOND + tooLong, 0);
            assertRules(tooLong > 0 ? new Rule[] {Rule.PROCESS} : new Rule[0]);
        }
    }

    @Test
    void findsUseBeyondLimits() {
        history.resourceSamples.add(
                new ResourceSample(PROCESS, 0, SoakSettings.DESCRIPTOR_LIMIT, SoakSettings.MEMORY_LIMIT_BYTES));
        assertRules();
        history.resourceSamples.add(new ResourceSample(PROCESS, 0, SoakSettings.DESCRIPTOR_LIMIT + 1, 0));
        assertRules(Rule.RESOURCES);
        history.resourceSamples.add(new ResourceSample(PROCESS, 0, 0, SoakSettings.MEMORY_LIMIT_BYTES + 1));
        assertRules(Rule.RESOURCES);
    }
}
