package loadbalancer.proxy.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.StubServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class DiscoveryWatchTest {
    private static final String READY = SidecarFixture.entry("u0", "127.0.0.1:9", "Ready", 0);
    private static final String DRAINING = READY.replace("Ready", "Terminating");

    private static final long HOUR_MILLIS = 3_600_000;
    private static final long HOUR_MICROS = HOUR_MILLIS * 1_000;
    /** No call times out during a test. */
    private static final WatchTimeouts HOUR_LONG = new WatchTimeouts(HOUR_MILLIS, 0, HOUR_MILLIS);

    private static final StubServer.Script SILENT = (request, connection) -> {};

    /** Handles the first request by the first step, and so on; requests beyond the last step get no response. */
    private static StubServer.Script inTurn(StubServer.Script... steps) {
        AtomicInteger requests = new AtomicInteger();
        return (request, connection) -> {
            int number = requests.getAndIncrement();
            if (number < steps.length) {
                steps[number].handle(request, connection);
            }
        };
    }

    private static StubServer.Script respond(String body) {
        return respond("200 OK", "", body);
    }

    private static StubServer.Script respond(String status, String headers, String body) {
        return (request, connection) -> connection.respond(status, headers, body);
    }

    private static StubServer.Script delta(long generation, String... entries) {
        return respond(SidecarFixture.list(generation, false, entries));
    }

    private static StubServer.Script fullSnapshot(long generation, String... entries) {
        return respond(SidecarFixture.list(generation, true, entries));
    }

    /** Not started; its load balancer polls. */
    private static SidecarFixture polled(StubServer.Script discovery) throws Exception {
        SidecarFixture fixture = new SidecarFixture(discovery);
        fixture.upstream(SILENT);
        return fixture;
    }

    /** Not started; its load balancer never polls. */
    private static SidecarFixture pushed(StubServer.Script discovery) throws Exception {
        SidecarFixture fixture = polled(discovery);
        fixture.settings = fixture.settings.replace("on_request", "pushed");
        fixture.pollsEndpoints = false;
        return fixture;
    }

    /** Started; pauses for an hour after a second failure. */
    private static SidecarFixture startPushed(WatchTimeouts timeouts, StubServer.Script discovery) throws Exception {
        SidecarFixture fixture = pushed(discovery);
        fixture.watchTimeouts = timeouts;
        fixture.backoff = new ExponentialBackoff(HOUR_MICROS, HOUR_MICROS, bound -> 0);
        return fixture.start();
    }

    @Test
    void theWatchContinuesFromEachGeneration() throws Exception {
        try (SidecarFixture fixture = polled(inTurn(
                delta(41),
                delta(42, DRAINING),
                respond("200 OK", "Connection: close\r\n", SidecarFixture.list(44, true, READY))))) {
            fixture.start();
            assertEquals("list CACHED u0=READY", fixture.await("list"));
            // The first response notifies the module that polled, even without a change.
            assertEquals("list DELTA ", fixture.await("list"));
            assertEquals("list DELTA u0=DRAINING", fixture.await("list"));
            assertEquals("list FULL u0=READY", fixture.await("list"));
            for (int index : new int[] {41, 41, 42, 44}) {
                String path = fixture.discovery.next().path();
                assertTrue(path.startsWith("/registry/instances?index=" + index + "&wait="), path);
            }
        }
    }

    /** Taken for an empty list, a malformed one would end all service. */
    @Test
    void aMalformedListIsAFailedCallAndAFullSnapshotFollows() throws Exception {
        String[] malformedLists = {
            "no json",
            "",
            "{}",
            "[]",
            "null",
            "{\"generation\":50,\"reset\":true,\"instances\":[]}",
            "{\"generation\":50,\"reset\":true}",
            SidecarFixture.list(40, false, READY),
            SidecarFixture.list(50, false, READY.replace("Ready", "?")),
            SidecarFixture.list(50, true, READY.replace("127.0.0.1:9", "nowhere")),
            "{\"generation\":50,\"reset\":true,\"instances\":[7]}"
        };
        for (String malformed : malformedLists) {
            try (SidecarFixture fixture = polled(inTurn(respond(malformed), fullSnapshot(60, READY)))) {
                fixture.start();
                fixture.await("list CACHED");
                assertEquals("list FAILED ", fixture.await("list"), malformed);
                assertEquals("list FULL u0=READY", fixture.await("list"));
                fixture.discovery.next();
                assertEquals("/registry/instances", fixture.discovery.next().path(), malformed);
                assertTrue(fixture.discovery.next().path().contains("?index=60&wait="));
            }
        }
    }

    @Test
    void failedCallsNotifyTheModuleAndKeepTheGeneration() throws Exception {
        try (SidecarFixture fixture = polled(inTurn(
                respond("503 Down", "", ""),
                (request, connection) -> connection.reset(),
                (request, connection) -> connection.write("HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n"),
                delta(43, READY)))) {
            fixture.start();
            fixture.await("list CACHED");
            for (int i = 0; i < 3; i++) {
                assertEquals("list FAILED ", fixture.await("list"));
                assertTrue(fixture.discovery.next().path().contains("?index=41&wait="));
            }
            assertEquals("list DELTA u0=READY", fixture.await("list"));
        }
    }

    /** Where lists are pushed the module never polls: the watch goes on by itself, also after failures. */
    @Test
    void pushedListsAreWatchedWithoutAPoll() throws Exception {
        try (SidecarFixture fixture = pushed(inTurn(delta(41), respond("503 Down", "", ""), delta(42, READY)))) {
            fixture.start();
            fixture.await("list CACHED");
            assertEquals(
                    "list DELTA u0=READY",
                    fixture.await("list"),
                    "notified of a call that the module has not made, or of no change");
        }
    }

    /**
     * After a reload the previous service may fall silent or reset its connections: the full snapshot of the new one is
     * fetched at once, the cancelled call is no failure with a backoff, and its late response is ignored.
     */
    @Test
    void aNewServiceIsQueriedForAFullSnapshotAtOnce() throws Exception {
        try (StubServer newService = new StubServer((request, connection) -> {
                    if (request.path().equals("/registry/instances")) {
                        connection.respond("200 OK", "", SidecarFixture.list(3, true, READY));
                    }
                });
                SidecarFixture fixture = polled(SILENT)) {
            fixture.watchTimeouts = HOUR_LONG;
            fixture.start();
            fixture.await("list CACHED");
            assertTrue(fixture.discovery.next().path().contains("?index=41&wait="));
            fixture.reload(newService.address());
            assertEquals("list FULL u0=READY", fixture.events.poll(20, TimeUnit.SECONDS));
            assertEquals("/registry/instances", newService.next().path());
            assertTrue(newService.next().path().contains("?index=3&wait="));
            assertEquals(
                    -1,
                    fixture.discovery.accepted.take().getInputStream().read(),
                    "the connection to the previous service was left open");
        }
    }

    /** Changes count as delivered also while no watch is up. */
    @Test
    void aWatchWhoseConnectionBreaksIsRestartedAtOnce() throws Exception {
        StubServer.Script unchanged = (request, connection) -> connection.respond(
                "200 OK", "", SidecarFixture.list(request.path().contains("=41&") ? 41 : 42, false));
        try (SidecarFixture fixture = startPushed(
                HOUR_LONG,
                inTurn(
                        unchanged,
                        (request, connection) -> connection.reset(),
                        delta(42, DRAINING),
                        (request, connection) -> connection.socket().close(),
                        delta(43, READY),
                        unchanged))) {
            fixture.await("list CACHED");
            assertEquals("list DELTA u0=DRAINING", fixture.await("list"));
            assertEquals(
                    "list DELTA u0=READY", fixture.await("list"), "a later failure was not counted as a first one");
        }
    }

    /** A watch that has fallen silent never responds any more; what it misses counts as delivered before long. */
    @Test
    void aSilentWatchIsRestartedAtOnce() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (SidecarFixture fixture = startPushed(new WatchTimeouts(1, 100, HOUR_MILLIS), (request, connection) -> {
            switch (calls.incrementAndGet()) {
                case 1 -> connection.respond("200 OK", "", SidecarFixture.list(41, false));
                case 2 -> {}
                default -> connection.respond("200 OK", "", SidecarFixture.list(42, false, DRAINING));
            }
        })) {
            fixture.await("list CACHED");
            assertEquals("list DELTA u0=DRAINING", fixture.await("list"));
        }
    }

    @Test
    void silenceIsNoticedWellBeforeMissedChangesCountAsDelivered() {
        WatchTimeouts timeouts = WatchTimeouts.DEFAULT;
        long deliveredMillis = Math.min(6_000, timeouts.waitMillis() + 2_000);
        long noticedMillis = timeouts.longPollTimeoutMillis();
        assertTrue(noticedMillis <= deliveredMillis - 1_000, "noticed after " + noticedMillis + " ms");
        // After a reload there are 4 s: time for several calls without a response.
        assertTrue(timeouts.immediateTimeoutMillis(0)
                        + timeouts.immediateTimeoutMillis(1)
                        + timeouts.immediateTimeoutMillis(2)
                        + timeouts.immediateTimeoutMillis(3)
                <= 3_000);
    }

    /** The list of the configuration may be old: nothing is served by it alone. */
    @Test
    void aSidecarIsReadyOnceTheChangesSinceItsStartWereFetched() throws Exception {
        BlockingQueue<StubServer.Connection> firstCalls = new LinkedBlockingQueue<>();
        try (SidecarFixture fixture = startPushed(HOUR_LONG, (request, connection) -> {
            if (request.path().equals("/registry/instances?index=41&wait=0")) {
                firstCalls.add(connection);
            }
        })) {
            StubServer.Connection firstCall = firstCalls.poll(20, TimeUnit.SECONDS);
            assertEquals(503, readinessStatus(fixture));
            firstCall.respond("200 OK", "", SidecarFixture.list(42, false, READY));
            assertEquals("list DELTA u0=READY", fixture.await("list DELTA"));
            assertEquals(200, readinessStatus(fixture));
        }
    }

    /** While discovery is down, the list of the configuration has to do. */
    @Test
    void aSidecarIsReadyWithoutDiscoveryOnceACallHasFailed() throws Exception {
        try (SidecarFixture fixture = startPushed(new WatchTimeouts(HOUR_MILLIS, 0, 1), SILENT)) {
            while (readinessStatus(fixture) != 200) {
                Thread.onSpinWait();
            }
        }
    }

    private static int readinessStatus(SidecarFixture fixture) throws Exception {
        try (StubServer.Client client = fixture.client()) {
            return client.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n").status();
        }
    }
}
