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
    private static final WatchTimeouts HOUR_LONG_TIMEOUTS = new WatchTimeouts(HOUR_MILLIS, 0, HOUR_MILLIS);

    private static final StubServer.Script SILENT = (request, connection) -> {};

    /**
     * Returns a script that handles the n-th request by the n-th step. Requests after the last step get no response.
     */
    private static StubServer.Script scriptOfSteps(StubServer.Script... steps) {
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

    /** Creates a fixture that is not started. Its load balancer polls. */
    private static SidecarFixture newPolledFixture(StubServer.Script discovery) throws Exception {
        SidecarFixture fixture = new SidecarFixture(discovery);
        fixture.upstream(SILENT);
        return fixture;
    }

    /** Creates a fixture that is not started. Its load balancer never polls. */
    private static SidecarFixture newPushedFixture(StubServer.Script discovery) throws Exception {
        SidecarFixture fixture = newPolledFixture(discovery);
        fixture.settings = fixture.settings.replace("on_request", "pushed");
        fixture.pollsEndpoints = false;
        return fixture;
    }

    /** Starts a fixture whose load balancer never polls and whose watch pauses for an hour after a second failure. */
    private static SidecarFixture startPushedFixture(WatchTimeouts timeouts, StubServer.Script discovery)
            throws Exception {
        SidecarFixture fixture = newPushedFixture(discovery);
        fixture.watchTimeouts = timeouts;
        fixture.backoff = new ExponentialBackoff(HOUR_MICROS, HOUR_MICROS, bound -> 0);
        return fixture.start();
    }

    @Test
    void continuesFromLatestGeneration() throws Exception {
        try (SidecarFixture fixture = newPolledFixture(scriptOfSteps(
                delta(41),
                delta(42, DRAINING),
                respond("200 OK", "Connection: close\r\n", SidecarFixture.list(44, true, READY))))) {
            fixture.start();
            assertEquals("list CACHED u0=READY", fixture.await("list"));
            // The decision module has polled, so it is notified of the first response even without a change.
            assertEquals("list DELTA ", fixture.await("list"));
            assertEquals("list DELTA u0=DRAINING", fixture.await("list"));
            assertEquals("list FULL u0=READY", fixture.await("list"));
            for (int index : new int[] {41, 41, 42, 44}) {
                String path = fixture.discovery.next().path();
                assertTrue(path.startsWith("/registry/instances?index=" + index + "&wait="), path);
            }
        }
    }

    /** If a malformed list were treated as an empty list, no endpoint would be left to serve requests. */
    @Test
    void requestsFullSnapshotAfterMalformedList() throws Exception {
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
            try (SidecarFixture fixture =
                    newPolledFixture(scriptOfSteps(respond(malformed), fullSnapshot(60, READY)))) {
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
    void reportsFailedCallAndKeepsGeneration() throws Exception {
        try (SidecarFixture fixture = newPolledFixture(scriptOfSteps(
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

    /**
     * When lists are pushed, the decision module never polls. The watch has to continue by itself, also after failures.
     */
    @Test
    void watchesPushedListsWithoutPoll() throws Exception {
        try (SidecarFixture fixture =
                newPushedFixture(scriptOfSteps(delta(41), respond("503 Down", "", ""), delta(42, READY)))) {
            fixture.start();
            fixture.await("list CACHED");
            assertEquals(
                    "list DELTA u0=READY",
                    fixture.await("list"),
                    "notified of a failure that it did not poll for, or of a delta without changes");
        }
    }

    /**
     * After a configuration reload, the previous service may stop responding or reset its connections. The full
     * snapshot of the new service must be fetched at once, without a backoff for the cancelled call, and a late
     * response to the cancelled call must be ignored.
     */
    @Test
    void requestsFullSnapshotFromNewServiceAtOnce() throws Exception {
        try (StubServer newService = new StubServer((request, connection) -> {
                    if (request.path().equals("/registry/instances")) {
                        connection.respond("200 OK", "", SidecarFixture.list(3, true, READY));
                    }
                });
                SidecarFixture fixture = newPolledFixture(SILENT)) {
            fixture.watchTimeouts = HOUR_LONG_TIMEOUTS;
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

    /** The sidecar is expected to know changes even while no call is open, so the call is repeated without a pause. */
    @Test
    void repeatsCallAtOnceAfterConnectionLoss() throws Exception {
        StubServer.Script unchanged = (request, connection) -> connection.respond(
                "200 OK", "", SidecarFixture.list(request.path().contains("=41&") ? 41 : 42, false));
        try (SidecarFixture fixture = startPushedFixture(
                HOUR_LONG_TIMEOUTS,
                scriptOfSteps(
                        unchanged,
                        (request, connection) -> connection.reset(),
                        delta(42, DRAINING),
                        (request, connection) -> connection.socket().close(),
                        delta(43, READY),
                        unchanged))) {
            fixture.await("list CACHED");
            assertEquals("list DELTA u0=DRAINING", fixture.await("list"));
            assertEquals(
                    "list DELTA u0=READY",
                    fixture.await("list"),
                    "a failure after a success was not counted as a first failure");
        }
    }

    /** A call that gets no response must time out, because the sidecar is soon expected to know the missed changes. */
    @Test
    void repeatsCallAtOnceAfterTimeout() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (SidecarFixture fixture =
                startPushedFixture(new WatchTimeouts(1, 100, HOUR_MILLIS), (request, connection) -> {
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
    void timesOutBeforeMissedChangesMustBeKnown() {
        WatchTimeouts timeouts = WatchTimeouts.DEFAULT;
        long changesKnownMillis = Math.min(6_000, timeouts.longPollWaitMillis() + 2_000);
        long timeoutMillis = timeouts.longPollTimeoutMillis();
        assertTrue(timeoutMillis <= changesKnownMillis - 1_000, "long poll times out after " + timeoutMillis + " ms");
        // After a reload, changes must be known within 4 s, so several calls must time out within that time.
        assertTrue(timeouts.immediateTimeoutMillis(0)
                        + timeouts.immediateTimeoutMillis(1)
                        + timeouts.immediateTimeoutMillis(2)
                        + timeouts.immediateTimeoutMillis(3)
                <= 3_000);
    }

    /** The list in the configuration may be outdated, so the sidecar is not ready before the first call has ended. */
    @Test
    void becomesReadyAfterFirstResponse() throws Exception {
        BlockingQueue<StubServer.Connection> firstCalls = new LinkedBlockingQueue<>();
        try (SidecarFixture fixture = startPushedFixture(HOUR_LONG_TIMEOUTS, (request, connection) -> {
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

    /** While discovery is down, the sidecar serves requests by the list in the configuration. */
    @Test
    void becomesReadyAfterFirstFailedCall() throws Exception {
        try (SidecarFixture fixture = startPushedFixture(new WatchTimeouts(HOUR_MILLIS, 0, 1), SILENT)) {
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
