package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.SidecarProcessFixture;
import loadbalancer.proxy.testing.StubServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A server began to drain before the sidecar started. Discovery's agent has that change, so the sidecar counts as
 * notified from its start, however slowly the agent answers.
 */
@Timeout(60)
class RestartWhileDiscoveryIsSlowTest {
    private static final long READY_LIMIT_MILLIS = 10_000;
    private static final int REQUESTS_WHEN_READY = 40;
    private static final long REMAINING_MILLIS = 300;
    private static final int PIECES = 20;

    @TempDir
    Path folder;

    private final StubServer serving = new StubServer(StubServer.echoingRequestId());
    private final StubServer draining = new StubServer(StubServer.echoingRequestId());

    RestartWhileDiscoveryIsSlowTest() throws Exception {}

    private String entry(StubServer server, String lifecycle) {
        return SidecarFixture.endpointJson("s-" + server.address(), server.address(), lifecycle, 0);
    }

    private String configuration(String discoveryAddress, String discoveryMode) {
        String settings = SidecarProcessFixture.settingsJson(discoveryMode)
                .replace("\"max_attempts\":4", "\"max_attempts\":4,\"second_copies\":true");
        return SidecarProcessFixture.configurationJson(
                discoveryAddress, settings, entry(serving, "Ready"), entry(draining, "Ready"));
    }

    private String change() {
        return SidecarFixture.endpointListJson(42, false, entry(draining, "Terminating"));
    }

    private String wholeList() {
        return SidecarFixture.endpointListJson(42, true, entry(serving, "Ready"));
    }

    /** Returns a handler that passes calls to {@code first} until a list has been sent, then to a watch without end. */
    private StubServer.RequestHandler untilListIsKnown(StubServer.RequestHandler first) {
        return (request, connection) -> {
            if (!request.path().contains("index=42")) {
                first.handle(request, connection);
            }
        };
    }

    private StubServer.RequestHandler after(long delayMillis) {
        return untilListIsKnown((request, connection) -> {
            StubServer.sleep(delayMillis);
            connection.respond("200 OK", "", request.path().contains("index") ? change() : wholeList());
        });
    }

    /**
     * Starts a sidecar with this agent, sends requests from the moment at which it listens, and checks that the server
     * that drains gets none of them, that the sidecar is ready in time, and that it serves once it is.
     */
    private void assertDrainingServerGetsNothing(StubServer.RequestHandler agent, String discoveryMode)
            throws Exception {
        try (StubServer discovery = new StubServer(agent);
                SidecarProcessFixture sidecar = new SidecarProcessFixture(
                        folder, configuration(discovery.address(), discoveryMode), Map.of())) {
            long startNanos = System.nanoTime();
            InetSocketAddress address = sidecar.awaitListenAddress();
            int early = 0;
            while (SidecarFixture.readinessStatus(address) != 200) {
                int status = SidecarFixture.requestStatus(address, "early-" + early++, REMAINING_MILLIS);
                assertTrue(status == 200 || status == 503 || status == 504, "status " + status);
            }
            long readyMillis = (System.nanoTime() - startNanos) / 1_000_000;
            assertTrue(readyMillis < READY_LIMIT_MILLIS, "ready after " + readyMillis + " ms");
            for (int i = 0; i < REQUESTS_WHEN_READY; i++) {
                assertEquals(200, SidecarFixture.requestStatus(address, "ready-" + i, REMAINING_MILLIS));
            }
            assertEquals(0, draining.receivedRequests.size(), "requests reached the server that drains");
        } finally {
            serving.close();
            draining.close();
        }
    }

    /** Guards against use of the configured list because the first call has timed out: its answer is on its way. */
    @ParameterizedTest
    @CsvSource({"700,pushed", "2000,pushed", "5000,pushed", "2000,on_request"})
    void sendsNothingToDrainingServerWhileFirstAnswerIsLate(long delayMillis, String discoveryMode) throws Exception {
        assertDrainingServerGetsNothing(after(delayMillis), discoveryMode);
    }

    /** Guards against use of the configured list while only a part of the answer has arrived. */
    @Test
    void sendsNothingToDrainingServerWhileAnswerArrivesInPieces() throws Exception {
        assertDrainingServerGetsNothing(
                untilListIsKnown((request, connection) -> {
                    String list = request.path().contains("index") ? change() : wholeList();
                    connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n");
                    for (int i = 0; i < PIECES; i++) {
                        StubServer.sleep(80);
                        connection.write(list.substring(list.length() * i / PIECES, list.length() * (i + 1) / PIECES));
                    }
                }),
                "pushed");
    }

    /** Guards against use of the configured list after calls that were refused, reset or never answered. */
    @ParameterizedTest
    @ValueSource(strings = {"silent", "reset", "503"})
    void sendsNothingToDrainingServerWhileOnlyLaterCallIsAnswered(String failure) throws Exception {
        AtomicInteger calls = new AtomicInteger();
        StubServer.RequestHandler answering = after(0);
        assertDrainingServerGetsNothing(
                (request, connection) -> {
                    if (calls.incrementAndGet() > 4) {
                        answering.handle(request, connection);
                    } else if (failure.equals("reset")) {
                        connection.reset();
                    } else if (failure.equals("503")) {
                        connection.respond("503 Busy", "", "");
                    }
                },
                "pushed");
    }

    /** Guards against use of the configured list after a first answer that can't be applied to it. */
    @Test
    void sendsNothingToDrainingServerAfterRefusedDelta() throws Exception {
        assertDrainingServerGetsNothing(
                untilListIsKnown((request, connection) -> {
                    if (request.path().contains("index")) {
                        connection.respond("200 OK", "", SidecarFixture.endpointListJson(40, false));
                    } else {
                        StubServer.sleep(1_000);
                        connection.respond("200 OK", "", wholeList());
                    }
                }),
                "pushed");
    }

    /** While discovery is down, a restarted sidecar has to be ready in time and serves by the configured list. */
    @Test
    void servesByConfiguredListWhileDiscoveryIsSilent() throws Exception {
        try (StubServer discovery = new StubServer((request, connection) -> {});
                SidecarProcessFixture sidecar =
                        new SidecarProcessFixture(folder, configuration(discovery.address(), "pushed"), Map.of())) {
            long startNanos = System.nanoTime();
            InetSocketAddress address = sidecar.awaitListenAddress();
            while (SidecarFixture.readinessStatus(address) != 200) {
                Thread.sleep(20);
            }
            long readyMillis = (System.nanoTime() - startNanos) / 1_000_000;
            assertTrue(readyMillis < READY_LIMIT_MILLIS, "ready after " + readyMillis + " ms");
            assertEquals(200, SidecarFixture.requestStatus(address, "ready", REMAINING_MILLIS));
        } finally {
            serving.close();
            draining.close();
        }
    }
}
