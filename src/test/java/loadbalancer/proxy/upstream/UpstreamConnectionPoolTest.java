package loadbalancer.proxy.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import loadbalancer.proxy.eventloop.MonotonicClock;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import loadbalancer.proxy.observability.TrafficStatistics;
import loadbalancer.proxy.protocol.EndpointList;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.StubServer;
import loadbalancer.proxy.testing.TestMemory;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests which connections the pool opens, reuses and closes. As in production, the pool is called only on its event
 * loop.
 */
@Timeout(60)
class UpstreamConnectionPoolTest {
    private static final long ENDPOINT_IDLE_TIMEOUT_MICROS = 15_000_000;
    private static final long HOUR_MICROS = 3_600_000_000L;
    private static final long STALL_TIMEOUT_MICROS = 20_000;
    private static final long NO_REUSE_DELAY = 0;

    private static final StubServer.RequestHandler SILENT = (request, connection) -> {};
    private static final StubServer.RequestHandler RESPONDING =
            (request, connection) -> connection.respond("200 OK", "", "body");

    private final MonotonicClock clock = new MonotonicClock();
    private final ReadTrackingEventLoop eventLoop = new ReadTrackingEventLoop(clock);
    private final EventLoop loop = eventLoop.nettyEventLoop();
    private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();

    @AfterEach
    void shutDownEventLoop() {
        eventLoop.shutDown();
    }

    private UpstreamConnectionPool newPool(long endpointIdleTimeoutMicros, int maxConnections) throws Exception {
        return newPool(endpointIdleTimeoutMicros, maxConnections, NO_REUSE_DELAY);
    }

    private UpstreamConnectionPool newPool(long endpointIdleTimeoutMicros, int maxConnections, long reuseDelayMicros)
            throws Exception {
        return loop.submit(() -> new UpstreamConnectionPool(
                        eventLoop,
                        new UpstreamTimeouts(endpointIdleTimeoutMicros, 2_000_000, STALL_TIMEOUT_MICROS),
                        reuseDelayMicros,
                        () -> maxConnections,
                        new TrafficStatistics(),
                        TestMemory.unlimited()))
                .get();
    }

    private static EndpointList list(boolean fullSnapshot, String... entries) {
        return EndpointList.parse(
                SidecarFixture.endpointListJson(1, fullSnapshot, entries).getBytes(StandardCharsets.UTF_8));
    }

    private UpstreamCall newCall(String endpoint) {
        return newCall(endpoint, 20_000_000, () -> true);
    }

    private UpstreamCall newCall(String endpoint, long timeoutMicros, BooleanSupplier clientInputRead) {
        return UpstreamCall.attempt(
                endpoint,
                clock.nowMicros() + timeoutMicros,
                clientInputRead,
                remainingMicros -> new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api"),
                (call, outcome, loadReport, body) -> outcomes.add(endpoint + " " + outcome));
    }

    private static String ready(String id, StubServer server) {
        return SidecarFixture.endpointJson(id, server.address(), "Ready", 0);
    }

    private void update(UpstreamConnectionPool pool, EndpointList list) {
        loop.execute(() -> pool.updateEndpoints(list));
    }

    private void start(UpstreamConnectionPool pool, String endpoint) {
        loop.execute(() -> pool.startCall(newCall(endpoint)));
    }

    private String outcomeOfCall(UpstreamConnectionPool pool, String endpoint) throws InterruptedException {
        start(pool, endpoint);
        return nextOutcome();
    }

    private String nextOutcome() throws InterruptedException {
        return outcomes.poll(20, TimeUnit.SECONDS);
    }

    /**
     * A request must not be written on a connection that is established after its endpoint started to drain, restarted,
     * moved or was removed. The change is made in the same iteration of the event loop as the call, so the connection
     * can't be established before the change.
     */
    @Test
    void doesNotSendToEndpointThatChangedDuringConnect() throws Exception {
        try (StubServer server = new StubServer(RESPONDING);
                StubServer otherServer = new StubServer(RESPONDING)) {
            UpstreamConnectionPool pool = newPool(ENDPOINT_IDLE_TIMEOUT_MICROS, 100);
            EndpointList ready = list(true, ready("u", server));
            for (EndpointList change : new EndpointList[] {
                list(false, SidecarFixture.endpointJson("u", server.address(), "Terminating", 0)),
                list(false, SidecarFixture.endpointJson("u", server.address(), "Gone", 0)),
                list(false, SidecarFixture.endpointJson("u", server.address(), "Ready", 5_000_000)),
                list(false, ready("u", otherServer)),
                list(true, ready("other", otherServer))
            }) {
                loop.execute(() -> {
                    pool.updateEndpoints(ready);
                    pool.startCall(newCall("u"));
                    pool.updateEndpoints(change);
                });
                assertEquals("u NOT_SENT", nextOutcome());
            }
            assertTrue(
                    server.receivedRequests.isEmpty() && otherServer.receivedRequests.isEmpty(), "a request was sent");
        }
    }

    /** The client may have disconnected behind input that is still unread, which is no fault of the endpoint. */
    @Test
    void writesCallOnlyOnceInputOfClientIsRead() throws Exception {
        AtomicBoolean clientInputRead = new AtomicBoolean();
        try (StubServer server = new StubServer(RESPONDING)) {
            UpstreamConnectionPool pool = newPool(ENDPOINT_IDLE_TIMEOUT_MICROS, 100);
            loop.execute(() -> {
                pool.updateEndpoints(list(true, ready("u", server)));
                pool.startCall(newCall("u", 200_000, clientInputRead::get));
            });
            assertEquals("u NOT_SENT", nextOutcome());
            assertTrue(server.receivedRequests.isEmpty(), "a request was sent");
            loop.execute(() -> {
                pool.startCall(newCall("u", 20_000_000, clientInputRead::get));
                loop.schedule(() -> clientInputRead.set(true), 50, TimeUnit.MILLISECONDS);
            });
            assertEquals("u OK", nextOutcome());
        }
    }

    /** Each full snapshot lists unchanged endpoints again. Their connections must stay open. */
    @Test
    void keepsConnectionsAfterUnchangedList() throws Exception {
        try (StubServer server = new StubServer(RESPONDING)) {
            UpstreamConnectionPool pool = newPool(ENDPOINT_IDLE_TIMEOUT_MICROS, 100);
            for (int i = 0; i < 3; i++) {
                loop.execute(() -> {
                    pool.updateEndpoints(list(true, ready("u", server)));
                    pool.startCall(newCall("u"));
                });
                assertEquals("u OK", nextOutcome());
            }
            assertEquals(1, server.acceptedSockets.size());
        }
    }

    /** An endpoint closes idle connections without notice. A request on such a connection would end as a reset. */
    @Test
    void closesIdleConnectionsBeforeEndpointDoes() throws Exception {
        try (StubServer server = new StubServer(RESPONDING)) {
            UpstreamConnectionPool pool = newPool(1, 100);
            update(pool, list(true, ready("u", server)));
            for (int i = 0; i < 2; i++) {
                assertEquals("u OK", outcomeOfCall(pool, "u"));
            }
            assertEquals(-1, server.acceptedSockets.take().getInputStream().read());
            assertEquals(1, server.acceptedSockets.size(), "the second call did not open a new connection");
        }
    }

    /** At the limit, an idle connection to another endpoint is closed. If there is none, the request is not sent. */
    @Test
    void limitsOpenConnections() throws Exception {
        try (StubServer idle = new StubServer(RESPONDING);
                StubServer silent = new StubServer(SILENT)) {
            UpstreamConnectionPool pool = newPool(ENDPOINT_IDLE_TIMEOUT_MICROS, 1);
            update(pool, list(true, ready("idle", idle), ready("silent", silent)));
            assertEquals("idle OK", outcomeOfCall(pool, "idle"));
            start(pool, "silent");
            silent.nextRequest();
            assertEquals(-1, idle.acceptedSockets.take().getInputStream().read());
            assertEquals("idle NOT_SENT", outcomeOfCall(pool, "idle"));
        }
    }

    /** Idle connections are closed to free file descriptors for clients. Connections in use must stay open. */
    @Test
    void closesOldestIdleConnectionButNoneInUse() throws Exception {
        try (StubServer idle = new StubServer(RESPONDING);
                StubServer silent = new StubServer(SILENT)) {
            UpstreamConnectionPool pool = newPool(ENDPOINT_IDLE_TIMEOUT_MICROS, 2);
            update(pool, list(true, ready("idle", idle), ready("silent", silent)));
            assertEquals("idle OK", outcomeOfCall(pool, "idle"));
            start(pool, "silent");
            silent.nextRequest();
            assertTrue(loop.submit(pool::closeOldestIdleConnection).get());
            assertEquals(-1, idle.acceptedSockets.take().getInputStream().read());
            assertEquals(1, loop.submit(pool::openConnectionCount).get());
            assertFalse(loop.submit(pool::closeOldestIdleConnection).get());
        }
    }

    /**
     * A connection that was never established must not count towards the limit. Otherwise the attempts to connect to a
     * crashed endpoint would use up the limit.
     */
    @Test
    void doesNotCountFailedConnections() throws Exception {
        try (StubServer server = new StubServer(
                        (request, connection) -> connection.respond("200 OK", "Connection: close\r\n", ""));
                StubServer gone = new StubServer(SILENT)) {
            gone.close();
            UpstreamConnectionPool pool = newPool(ENDPOINT_IDLE_TIMEOUT_MICROS, 1);
            update(pool, list(true, ready("u", server), ready("gone", gone)));
            for (int i = 0; i < 3; i++) {
                assertEquals("gone CONNECT_FAILED", outcomeOfCall(pool, "gone"));
            }
            assertEquals("u OK", outcomeOfCall(pool, "u"));
            server.acceptedSockets.take().getInputStream().read();
        }
    }

    /** Replacements of endpoints have new ids. Removed endpoints must not accumulate, even if all lists are deltas. */
    @Test
    void doesNotAccumulateRemovedEndpoints() throws Exception {
        UpstreamConnectionPool pool = newPool(ENDPOINT_IDLE_TIMEOUT_MICROS, 100);
        int endpoints = loop.submit(() -> {
                    for (int i = 0; i < 50; i++) {
                        pool.updateEndpoints(
                                list(false, SidecarFixture.endpointJson("u" + i, "127.0.0.1:9", "Ready", 0)));
                        pool.updateEndpoints(
                                list(false, SidecarFixture.endpointJson("u" + i, "127.0.0.1:9", "Gone", 0)));
                    }
                    return pool.endpointCount();
                })
                .get();
        assertEquals(0, endpoints);
    }

    /** A connection that the endpoint closed while it was idle must not make the next call fail. */
    @Test
    void doesNotReuseConnectionClosedWhileIdle() throws Exception {
        try (StubServer server = new StubServer((request, connection) -> {
            connection.respond("200 OK", "", "sent");
            connection.socket().close();
        })) {
            UpstreamConnectionPool pool = newPool(ENDPOINT_IDLE_TIMEOUT_MICROS, 100);
            update(pool, list(true, ready("u", server)));
            for (int i = 0; i < 5; i++) {
                assertEquals("u OK", outcomeOfCall(pool, "u"));
                while (loop.submit(pool::openConnectionCount).get() > 0) {
                    Thread.onSpinWait();
                }
            }
            assertEquals(5, server.acceptedSockets.size());
        }
    }

    /**
     * An endpoint may send a response twice, some milliseconds apart. If the connection has been reused in between, the
     * duplicate is mistaken for the response to the next request. Here the duplicate is sent after the next request has
     * reached the endpoint.
     */
    @Test
    void doesNotServeLateDuplicateResponse() throws Exception {
        BlockingQueue<StubServer.Connection> connections = new LinkedBlockingQueue<>();
        try (StubServer server = new StubServer((request, connection) -> {
            connections.add(connection);
            if (connections.size() == 1) {
                connection.respond("200 OK", "", "first");
            } else {
                connections.peek().respond("200 OK", "", "first");
                connection.respond("500 Own", "", "");
            }
        })) {
            UpstreamConnectionPool pool = newPool(ENDPOINT_IDLE_TIMEOUT_MICROS, 100, HOUR_MICROS);
            update(pool, list(true, ready("u", server)));
            assertEquals("u OK", outcomeOfCall(pool, "u"));
            assertEquals("u ERROR", outcomeOfCall(pool, "u"), "the response to another request was accepted");
        }
    }

    /** Without reuse, most requests would need a new connection and its handshake. */
    @Test
    void reusesConnectionAfterReuseDelay() throws Exception {
        try (StubServer server = new StubServer(RESPONDING)) {
            UpstreamConnectionPool pool = newPool(ENDPOINT_IDLE_TIMEOUT_MICROS, 100, 1_000);
            update(pool, list(true, ready("u", server)));
            // Repeats the call until one opens no new connection.
            for (int calls = 0; server.acceptedSockets.size() == calls; calls++) {
                assertEquals("u OK", outcomeOfCall(pool, "u"));
            }
        }
    }

    /** An endpoint can't have served a request whose last byte has not been written. */
    @Test
    void reportsConnectFailureForResponseToUnwrittenRequest() {
        for (String status : new String[] {"200 OK", "500 No"}) {
            EmbeddedChannel channel = new EmbeddedChannel();
            UpstreamConnection.install(channel, STALL_TIMEOUT_MICROS, TestMemory.unlimited())
                    .begin(newCall("u"), (call, connection) -> connection.close());
            channel.writeInbound(Unpooled.copiedBuffer(
                    "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nok", StandardCharsets.US_ASCII));
            assertEquals("u CONNECT_FAILED", outcomes.poll());
            assertFalse(channel.isOpen());
        }
    }
}
