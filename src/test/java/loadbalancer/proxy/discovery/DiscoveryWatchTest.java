package loadbalancer.proxy.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.proxy.eventloop.EventLoopMonitor;
import loadbalancer.proxy.eventloop.LoadBalancerExecutor;
import loadbalancer.proxy.eventloop.MonotonicClock;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import loadbalancer.proxy.protocol.EndpointList;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.StubServer;
import loadbalancer.proxy.testing.TestMemory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class DiscoveryWatchTest {
    private static final String READY = SidecarFixture.endpointJson("u0", "127.0.0.1:9", "Ready", 0);
    private static final String DRAINING = READY.replace("Ready", "Terminating");

    private static final long HOUR_MILLIS = 3_600_000;
    private static final long HOUR_MICROS = HOUR_MILLIS * 1_000;
    /** No call times out during a test. */
    private static final WatchTimeouts HOUR_LONG_TIMEOUTS = new WatchTimeouts(HOUR_MILLIS, 0, HOUR_MILLIS, HOUR_MILLIS);

    private static final StubServer.RequestHandler SILENT = (request, connection) -> {};

    /**
     * Returns a handler that passes the n-th request to the n-th step. Requests after the last step get no response.
     */
    private static StubServer.RequestHandler handlerOfSteps(StubServer.RequestHandler... steps) {
        AtomicInteger requests = new AtomicInteger();
        return (request, connection) -> {
            int number = requests.getAndIncrement();
            if (number < steps.length) {
                steps[number].handle(request, connection);
            }
        };
    }

    private static StubServer.RequestHandler respond(String body) {
        return respond("200 OK", "", body);
    }

    private static StubServer.RequestHandler respond(String status, String headers, String body) {
        return (request, connection) -> connection.respond(status, headers, body);
    }

    private static StubServer.RequestHandler delta(long generation, String... entries) {
        return respond(SidecarFixture.endpointListJson(generation, false, entries));
    }

    private static StubServer.RequestHandler fullSnapshot(long generation, String... entries) {
        return respond(SidecarFixture.endpointListJson(generation, true, entries));
    }

    /** Creates a fixture that is not started. Its load balancer polls, and its calls do not time out. */
    private static SidecarFixture newPolledFixture(StubServer.RequestHandler discovery) throws Exception {
        SidecarFixture fixture = new SidecarFixture(discovery);
        fixture.watchTimeouts = HOUR_LONG_TIMEOUTS;
        fixture.addEndpoint(SILENT);
        return fixture;
    }

    /** Creates a fixture that is not started. Its load balancer never polls. */
    private static SidecarFixture newPushedFixture(StubServer.RequestHandler discovery) throws Exception {
        SidecarFixture fixture = newPolledFixture(discovery);
        fixture.settingsJson = fixture.settingsJson.replace("on_request", "pushed");
        fixture.pollsEndpoints = false;
        return fixture;
    }

    /** Starts a fixture whose load balancer never polls and whose watch pauses for an hour after a second failure. */
    private static SidecarFixture startPushedFixture(WatchTimeouts timeouts, StubServer.RequestHandler discovery)
            throws Exception {
        SidecarFixture fixture = newPushedFixture(discovery);
        fixture.watchTimeouts = timeouts;
        fixture.backoff = new ExponentialBackoff(HOUR_MICROS, HOUR_MICROS, bound -> 0);
        return fixture.start();
    }

    @Test
    void continuesFromLatestGeneration() throws Exception {
        try (SidecarFixture fixture = newPolledFixture(handlerOfSteps(
                delta(41),
                delta(42, DRAINING),
                respond("200 OK", "Connection: close\r\n", SidecarFixture.endpointListJson(44, true, READY))))) {
            fixture.start();
            // The list of the configuration is passed on only now that discovery has confirmed it.
            assertEquals("list FULL u0=READY", fixture.awaitEvent("list"));
            assertEquals("list DELTA u0=DRAINING", fixture.awaitEvent("list"));
            assertEquals("list FULL u0=READY", fixture.awaitEvent("list"));
            for (int index : new int[] {41, 41, 42, 44}) {
                String path = fixture.discovery.nextRequest().path();
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
            "{\"generation\":50,\"reset\":true,\"instances\":[]",
            "{\"generation\":50,\"reset\":true,\"instances\":null}",
            "{\"generation\":50,\"reset\":true,\"instances\":[" + READY + "],\"instances\":[]}",
            "{\"generation\":50,\"reset\":true,\"instances\":[]}]",
            "{\"generation\":50,\"reset\":true,\"instances\":[]}{}",
            "{\"generation\":50,\"instances\":[]}",
            "{\"reset\":true,\"instances\":[]}",
            "{\"generation\":50,\"reset\":true}",
            SidecarFixture.endpointListJson(40, false, READY),
            SidecarFixture.endpointListJson(50, false, READY.replace("Ready", "?")),
            SidecarFixture.endpointListJson(50, true, READY.replace("127.0.0.1:9", "nowhere")),
            "{\"generation\":50,\"reset\":true,\"instances\":[7]}"
        };
        for (String malformed : malformedLists) {
            try (SidecarFixture fixture =
                    newPolledFixture(handlerOfSteps(respond(malformed), fullSnapshot(60, READY)))) {
                fixture.start();
                assertEquals("list FAILED ", fixture.awaitEvent("list"), malformed);
                assertEquals("list FULL u0=READY", fixture.awaitEvent("list"));
                fixture.discovery.nextRequest();
                assertEquals(
                        "/registry/instances", fixture.discovery.nextRequest().path(), malformed);
                assertTrue(fixture.discovery.nextRequest().path().contains("?index=60&wait="));
            }
        }
    }

    /** All endpoints may be gone. Those that the list leaves out must not receive new requests. */
    @Test
    void appliesFullSnapshotWithoutEndpointsAndWatchesOn() throws Exception {
        try (SidecarFixture fixture = newPolledFixture(handlerOfSteps(fullSnapshot(50), delta(50), delta(51, READY)))) {
            fixture.start();
            assertEquals("list FULL ", fixture.awaitEvent("list"));
            assertEquals("list DELTA u0=READY", fixture.awaitEvent("list"));
            for (int index : new int[] {41, 50, 50, 51}) {
                String path = fixture.discovery.nextRequest().path();
                assertTrue(path.startsWith("/registry/instances?index=" + index + "&wait="), path);
            }
        }
    }

    /** The list that a sidecar can't read is the one that it goes on without, so a long list must not be refused. */
    @Test
    void appliesIndentedListOfLargeFleet() throws Exception {
        String indentedEntry = READY.replace(",", ",\n" + " ".repeat(40));
        String[] entries = new String[3_200];
        for (int i = 0; i < entries.length; i++) {
            entries[i] = indentedEntry.replace("\"u0\"", "\"u" + i + "\"");
        }
        try (SidecarFixture fixture = newPolledFixture(handlerOfSteps(fullSnapshot(50, entries)))) {
            fixture.start();
            String event = fixture.awaitEvent("list");
            assertTrue(event.startsWith("list FULL u0=READY") && event.endsWith("u3199=READY"), event);
        }
    }

    @Test
    void reportsFailedCallAndKeepsGeneration() throws Exception {
        try (SidecarFixture fixture = newPolledFixture(handlerOfSteps(
                respond("503 Down", "", ""),
                (request, connection) -> connection.reset(),
                (request, connection) -> connection.write("HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n"),
                (request, connection) -> connection.write("no http\r\n\r\n"),
                delta(43, READY)))) {
            fixture.start();
            for (int i = 0; i < 4; i++) {
                assertEquals("list FAILED ", fixture.awaitEvent("list"));
                assertTrue(fixture.discovery.nextRequest().path().contains("?index=41&wait="));
            }
            assertEquals("list FULL u0=READY", fixture.awaitEvent("list"));
        }
    }

    /**
     * When lists are pushed, the load balancer never polls. The watch has to continue by itself, also after failures.
     */
    @Test
    void watchesPushedListsWithoutPoll() throws Exception {
        try (SidecarFixture fixture =
                newPushedFixture(handlerOfSteps(delta(41), respond("503 Down", "", ""), delta(42, READY)))) {
            fixture.start();
            assertEquals("list FULL u0=READY", fixture.awaitEvent("list"));
            assertEquals(
                    "list DELTA u0=READY",
                    fixture.awaitEvent("list"),
                    "notified the load balancer of a failure without a poll, or of a delta without changes");
        }
    }

    /**
     * After a configuration reload, the previous service may stop responding or reset its connections. The full
     * snapshot of the new service must be fetched at once, without a backoff for the cancelled call, and the connection
     * to the previous service must be closed, so that no late response to the cancelled call is read.
     */
    @Test
    void requestsFullSnapshotFromNewServiceAtOnce() throws Exception {
        try (StubServer newService = new StubServer((request, connection) -> {
                    if (request.path().equals("/registry/instances")) {
                        connection.respond("200 OK", "", SidecarFixture.endpointListJson(3, true, READY));
                    }
                });
                SidecarFixture fixture = newPolledFixture(SILENT)) {
            fixture.start();
            assertTrue(fixture.discovery.nextRequest().path().contains("?index=41&wait="));
            fixture.reload(newService.address());
            assertEquals("list FULL u0=READY", fixture.events.poll(20, TimeUnit.SECONDS));
            assertEquals("/registry/instances", newService.nextRequest().path());
            assertTrue(newService.nextRequest().path().contains("?index=3&wait="));
            assertEquals(
                    -1,
                    fixture.discovery.acceptedSockets.take().getInputStream().read(),
                    "the connection to the previous service was left open");
        }
    }

    /** The failures of the previous service must not delay the calls to the new one, which may fail once as well. */
    @Test
    void repeatsFailedCallToNewServiceAtOnce() throws Exception {
        StubServer.RequestHandler reset = (request, connection) -> connection.reset();
        try (StubServer newService = new StubServer(handlerOfSteps(reset, fullSnapshot(3, DRAINING)));
                SidecarFixture fixture = startPushedFixture(HOUR_LONG_TIMEOUTS, handlerOfSteps(reset, reset))) {
            fixture.discovery.nextRequest();
            fixture.discovery.nextRequest();
            fixture.reload(newService.address());
            assertEquals("list FULL u0=DRAINING", fixture.awaitEvent("list"));
        }
    }

    /**
     * The sidecar is expected to know a change even if no call was open when it happened, so the call is repeated
     * without a pause.
     */
    @Test
    void repeatsCallAtOnceAfterConnectionLoss() throws Exception {
        StubServer.RequestHandler unchanged = (request, connection) -> connection.respond(
                "200 OK", "", SidecarFixture.endpointListJson(request.path().contains("=41&") ? 41 : 42, false));
        try (SidecarFixture fixture = startPushedFixture(
                HOUR_LONG_TIMEOUTS,
                handlerOfSteps(
                        unchanged,
                        (request, connection) -> connection.reset(),
                        delta(42, DRAINING),
                        (request, connection) -> connection.socket().close(),
                        delta(43, READY),
                        unchanged))) {
            assertEquals("list FULL u0=READY", fixture.awaitEvent("list"));
            assertEquals("list DELTA u0=DRAINING", fixture.awaitEvent("list"));
            assertEquals(
                    "list DELTA u0=READY",
                    fixture.awaitEvent("list"),
                    "a failure after a success was not counted as a first failure");
        }
    }

    /** A call that gets no response must time out, because the sidecar is soon expected to know the missed changes. */
    @Test
    void repeatsCallAtOnceAfterTimeout() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (SidecarFixture fixture =
                startPushedFixture(new WatchTimeouts(1, 100, HOUR_MILLIS, HOUR_MILLIS), (request, connection) -> {
                    switch (calls.incrementAndGet()) {
                        case 1 -> connection.respond("200 OK", "", SidecarFixture.endpointListJson(41, false));
                        case 2 -> {}
                        default -> connection.respond(
                                "200 OK", "", SidecarFixture.endpointListJson(42, false, DRAINING));
                    }
                })) {
            assertEquals("list FULL u0=READY", fixture.awaitEvent("list"));
            assertEquals("list DELTA u0=DRAINING", fixture.awaitEvent("list"));
        }
    }

    /**
     * Discovery may be slow. Calls for a full snapshot are expected to be answered at once, but a list that takes
     * longer than their timeouts must still be applied.
     */
    @Test
    void appliesFullSnapshotThatArrivesAfterTimeout() throws Exception {
        try (StubServer slowService = new StubServer((request, connection) -> {
                    StubServer.sleep(500);
                    connection.respond("200 OK", "", SidecarFixture.endpointListJson(3, true, DRAINING));
                });
                SidecarFixture fixture =
                        startPushedFixture(new WatchTimeouts(HOUR_MILLIS, 0, 50, HOUR_MILLIS), SILENT)) {
            fixture.reload(slowService.address());
            assertEquals("list FULL u0=DRAINING", fixture.awaitEvent("list"));
        }
    }

    /** The response to an earlier call may be older than the list that is in use. */
    @Test
    void ignoresLateResponseAfterNewerList() throws Exception {
        CountDownLatch newerListApplied = new CountDownLatch(1);
        AtomicInteger calls = new AtomicInteger();
        try (SidecarFixture fixture =
                startPushedFixture(new WatchTimeouts(HOUR_MILLIS, 0, 100, HOUR_MILLIS), (request, connection) -> {
                    switch (calls.incrementAndGet()) {
                        case 1 -> {
                            StubServer.awaitLatch(newerListApplied);
                            connection.respond("200 OK", "", SidecarFixture.endpointListJson(42, true, READY));
                        }
                        case 2 -> connection.respond(
                                "200 OK", "", SidecarFixture.endpointListJson(43, false, DRAINING));
                        default -> {}
                    }
                })) {
            assertEquals("list FULL u0=DRAINING", fixture.awaitEvent("list"));
            assertEquals(
                    -1,
                    fixture.discovery.acceptedSockets.take().getInputStream().read(),
                    "the connection of the call that timed out was left open");
            newerListApplied.countDown();
            assertNull(fixture.events.poll(200, TimeUnit.MILLISECONDS));
        }
    }

    @Test
    void limitsConnectionsWhileDiscoveryIsSilent() throws Exception {
        // The handlers never return, so that only the test reads from the sockets.
        CountDownLatch never = new CountDownLatch(1);
        try (SidecarFixture fixture = newPushedFixture((request, connection) -> StubServer.awaitLatch(never))) {
            fixture.watchTimeouts = new WatchTimeouts(10, 0, 10, HOUR_MILLIS);
            fixture.backoff = new ExponentialBackoff(1, 1, bound -> 0);
            fixture.start();
            int calls = 3 * OpenCalls.MAX_OVERDUE_CALLS;
            for (int i = 0; i < calls; i++) {
                fixture.discovery.nextRequest();
            }
            int open = 0;
            for (int i = 0; i < calls; i++) {
                Socket socket = fixture.discovery.acceptedSockets.take();
                socket.setSoTimeout(50);
                open += isOpen(socket) ? 1 : 0;
            }
            assertTrue(open <= OpenCalls.MAX_OVERDUE_CALLS + 1, open + " connections are open");
        }
    }

    private static boolean isOpen(Socket socket) throws IOException {
        try {
            return socket.getInputStream().read() >= 0;
        } catch (SocketTimeoutException e) {
            return true;
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

    /** A fault in the handling of one list must not leave the sidecar without the next ones. */
    @Test
    void watchesOnAfterListenerThrowsException() throws Exception {
        ReadTrackingEventLoop eventLoop = new ReadTrackingEventLoop(new MonotonicClock());
        try (StubServer discovery = new StubServer(fullSnapshot(42, READY))) {
            DiscoveryWatch watch = new DiscoveryWatch(
                    eventLoop,
                    new LoadBalancerExecutor(eventLoop.clock(), new EventLoopMonitor(eventLoop.clock())),
                    new EndpointStartTimes(eventLoop.clock()::nowMicros, () -> 0),
                    TestMemory.unlimited(),
                    list -> {
                        throw new IllegalStateException("test");
                    },
                    new DiscoveryWatch.Options(
                            EndpointList.parseAddress(discovery.address()),
                            new EndpointList(41, true, List.of()),
                            DiscoveryMode.PUSHED,
                            HOUR_LONG_TIMEOUTS),
                    DiscoveryWatch.defaultBackoff());
            eventLoop.nettyEventLoop().execute(watch::start);
            for (int index : new int[] {41, 42, 42}) {
                assertTrue(discovery.nextRequest().path().contains("index=" + index));
            }
        } finally {
            eventLoop.shutDown();
        }
    }

    /** The list in the configuration may be outdated, so the sidecar is not ready before a list has arrived. */
    @Test
    void becomesReadyAfterFirstResponse() throws Exception {
        BlockingQueue<StubServer.Connection> firstCalls = new LinkedBlockingQueue<>();
        try (SidecarFixture fixture = startPushedFixture(HOUR_LONG_TIMEOUTS, (request, connection) -> {
            if (request.path().equals("/registry/instances?index=41&wait=0")) {
                firstCalls.add(connection);
            }
        })) {
            StubServer.Connection firstCall = firstCalls.poll(20, TimeUnit.SECONDS);
            assertEquals(503, SidecarFixture.readinessStatus(fixture.address()));
            firstCall.respond("200 OK", "", SidecarFixture.endpointListJson(42, false, READY));
            assertEquals("list FULL u0=READY", fixture.awaitEvent("list"));
            assertEquals(200, SidecarFixture.readinessStatus(fixture.address()));
        }
    }

    /**
     * While discovery is down, the sidecar serves requests by the list in the configuration, but not before the wait.
     */
    @Test
    void usesInitialListOnceWaitForFirstListHasEnded() throws Exception {
        long startNanos = System.nanoTime();
        try (SidecarFixture fixture = startPushedFixture(new WatchTimeouts(HOUR_MILLIS, 0, 1, 400), SILENT)) {
            while (SidecarFixture.readinessStatus(fixture.address()) != 200) {
                Thread.onSpinWait();
            }
            assertTrue(System.nanoTime() - startNanos >= 400_000_000, "the wait for discovery was cut short");
            assertEquals("list CACHED u0=READY", fixture.awaitEvent("list"));
        }
    }

    /** A failed call confirms nothing: the answer of a slow discovery may still be on its way. */
    @Test
    void isNotReadyAfterFailedCalls() throws Exception {
        StubServer.RequestHandler reset = (request, connection) -> connection.reset();
        try (SidecarFixture fixture =
                startPushedFixture(HOUR_LONG_TIMEOUTS, handlerOfSteps(reset, respond("503 Down", "", ""), delta(40)))) {
            fixture.discovery.nextRequest();
            fixture.discovery.nextRequest();
            assertEquals(503, SidecarFixture.readinessStatus(fixture.address()));
            assertNull(fixture.events.poll(200, TimeUnit.MILLISECONDS));
            assertEquals(503, SidecarFixture.readinessStatus(fixture.address()));
        }
    }

    /** If the first list comes after the wait has ended, it changes the list that is in use. */
    @Test
    void appliesDeltaThatArrivesAfterWaitForFirstList() throws Exception {
        BlockingQueue<StubServer.Connection> firstCalls = new LinkedBlockingQueue<>();
        try (SidecarFixture fixture = startPushedFixture(
                new WatchTimeouts(HOUR_MILLIS, 0, HOUR_MILLIS, 1),
                (request, connection) -> firstCalls.add(connection))) {
            assertEquals("list CACHED u0=READY", fixture.awaitEvent("list"));
            firstCalls
                    .poll(20, TimeUnit.SECONDS)
                    .respond("200 OK", "", SidecarFixture.endpointListJson(42, false, DRAINING));
            assertEquals("list DELTA u0=DRAINING", fixture.awaitEvent("list"));
        }
    }
}
