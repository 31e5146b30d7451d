package loadbalancer.proxy.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.StubServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests which outcome the load balancer is notified of for each behavior of an endpoint. */
@Timeout(60)
class AttemptOutcomeTest {
    /** Starts a sidecar with one endpoint, {@code u0}, whose requests go to {@code handler}. */
    private static SidecarFixture startFixture(StubServer.RequestHandler handler) throws Exception {
        SidecarFixture fixture = new SidecarFixture();
        fixture.addEndpoint(handler);
        return fixture.start();
    }

    private static void assertOutcome(String expected, int status, StubServer.RequestHandler handler) throws Exception {
        try (SidecarFixture fixture = startFixture(handler);
                StubServer.Client client = fixture.client()) {
            client.send(SidecarFixture.idempotentRequest("a1", 20_000));
            assertEquals("outcome a1 0 " + expected, fixture.awaitEvent("outcome"));
            assertEquals(status, client.readStatus());
        }
    }

    private static void assertMalformed(String response) throws Exception {
        try {
            assertOutcome("MALFORMED_RESPONSE false -", 502, (request, connection) -> connection.write(response));
        } catch (AssertionError e) {
            throw new AssertionError(
                    "accepted as a response: " + response.lines().limit(4).toList(), e);
        }
    }

    @Test
    void reportsLoadReportOfResponse() throws Exception {
        assertOutcome(
                "OK true 7.0",
                200,
                (request, connection) ->
                        connection.respond("200 OK", "X-Pressure: TEXT inflight=7, queue=2, util=0.61\r\n", "slot"));
    }

    @Test
    void ignoresMalformedLoadReport() throws Exception {
        for (String report : new String[] {
            "TEXT inflight=", "TEXT inflight=NaN", "TEXT inflight=-1", "TEXT inflight=1e300, queue=0", "JSON {}", "TEXT"
        }) {
            assertOutcome(
                    "OK true -",
                    200,
                    (request, connection) -> connection.respond("200 OK", "X-Pressure: " + report + "\r\n", "slot"));
        }
    }

    @Test
    void reportsRejectionOnlyWithRejectedHeader() throws Exception {
        assertOutcome(
                "REJECTED false -",
                502,
                (request, connection) -> connection.respond("503 Busy", "X-Turned-Away: 1\r\n", ""));
        assertOutcome(
                "REJECTED false -",
                502,
                (request, connection) -> connection.respond("504 Late", "X-Turned-Away: 1\r\n", ""));
        assertOutcome("ERROR false -", 502, (request, connection) -> connection.respond("503 Busy", "", ""));
        assertOutcome(
                "ERROR false -",
                502,
                (request, connection) -> connection.respond("500 Oops", "X-Turned-Away: 1\r\n", ""));
        assertOutcome("ERROR false -", 502, (request, connection) -> connection.respond("302 Found", "", ""));
    }

    @Test
    void reportsResetAfterWrittenRequestLosesConnection() throws Exception {
        assertOutcome("RESET false -", 502, (request, connection) -> connection.reset());
        assertOutcome("RESET false -", 502, (request, connection) -> connection
                .socket()
                .close());
        assertOutcome("RESET false -", 502, (request, connection) -> {
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
            connection.socket().close();
        });
    }

    /**
     * A response that is malformed or may be truncated must not be served. The endpoint keeps the connection open, so
     * the sidecar has to detect each malformed response by itself, long before the deadline.
     */
    @Test
    void rejectsMalformedResponse() throws Exception {
        String ok = "HTTP/1.1 200 OK\r\n";
        for (String response : new String[] {
            "this is no HTTP at all\r\n\r\n",
            "noise without a line's end",
            ok + "X-Endless: ",
            ok + "X-Endless: " + "x".repeat(20_000),
            ok + "Content-Length: 1048577\r\n\r\nx",
            ok + "Transfer-Encoding: chunked\r\n\r\n140000\r\n" + "x".repeat(0x140000) + "\r\n0\r\n\r\n",
            ok + "Content-Length: 3221225472\r\n\r\nxx",
            ok + "Content-Length: -1\r\n\r\nslot",
            ok + "Content-Length: four\r\n\r\nslot",
            ok + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nslots",
            ok + "Content-Length: 10\r\n\r\nslot",
            ok + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nslot\r\n0\r\n\r\n",
            ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\nslot\r\n0\r\n\r\n",
            ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nslot\r\n",
            ok + "\r\nslot",
            ok + "a line without a colon\r\nContent-Length: 4\r\n\r\nslot",
            "HTTP/1.1 101 Switching Protocols\r\nUpgrade: odd\r\nConnection: upgrade\r\n\r\nslot",
            "HTTP/9.9 twohundred OK\r\nContent-Length: 4\r\n\r\nslot"
        }) {
            assertMalformed(response);
        }
        assertOutcome("MALFORMED_RESPONSE false -", 502, (request, connection) -> {
            connection.write(ok + "\r\nslot");
            connection.socket().close();
        });
    }

    /** Bytes after a response belong to no request. They must not be served as the response to the next request. */
    @Test
    void doesNotServeBytesAfterResponse() throws Exception {
        for (String trailing : new String[] {
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy",
            "noise",
            "noise\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Le"
        }) {
            try (SidecarFixture fixture = startFixture((request, connection) -> connection.write(
                            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + request.header("X-Txn") + trailing));
                    StubServer.Client client = fixture.client()) {
                StubServer server = fixture.endpointServers.get(0);
                for (String id : new String[] {"a1", "a2", "a3"}) {
                    client.send(SidecarFixture.idempotentRequest(id, 20_000));
                    assertEquals(id, client.readResponse().body());
                }
                assertEquals(3, server.acceptedSockets.size(), "a connection with unread bytes was reused");
            }
        }
    }

    /** If a request is invalid, its client is at fault, so it must not count as an error of the endpoint. */
    @Test
    void reportsInvalidRequestForClientError() throws Exception {
        assertOutcome(
                "INVALID_REQUEST false -", 502, (request, connection) -> connection.respond("400 Bad Request", "", ""));
        assertOutcome(
                "INVALID_REQUEST false -", 502, (request, connection) -> connection.respond("404 Not Found", "", ""));
    }

    /** A slow response is not malformed. The pauses exceed the stall timeout in total, but no single pause does. */
    @Test
    void acceptsResponseInSlowPieces() throws Exception {
        assertOutcome("OK true -", 200, (request, connection) -> {
            for (String piece : "HTTP/1.1 200 OK|\r\nContent-|Length: 4\r\n|\r\ns|l|o|t".split("[|]")) {
                connection.write(piece);
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(20));
            }
        });
    }

    @Test
    void skipsInterimResponses() throws Exception {
        assertOutcome("OK true -", 200, (request, connection) -> {
            connection.write("HTTP/1.1 100 Continue\r\n\r\n");
            connection.write("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
            connection.respond("200 OK", "", "slot");
        });
    }

    @Test
    void reportsConnectFailureForRefusedConnection() throws Exception {
        try (SidecarFixture fixture = startFixture((request, connection) -> {});
                StubServer.Client client = fixture.client()) {
            fixture.endpointServers.get(0).close();
            client.send(SidecarFixture.idempotentRequest("a1", 20_000));
            assertEquals("outcome a1 0 CONNECT_FAILED false -", fixture.awaitEvent("outcome"));
        }
    }

    /** A late response to a call that timed out must not be served, so its connection must not be reused. */
    @Test
    void closesConnectionAfterTimeout() throws Exception {
        try (SidecarFixture fixture = startFixture((request, connection) -> {});
                StubServer.Client client = fixture.client()) {
            StubServer server = fixture.endpointServers.get(0);
            fixture.onRequest =
                    (nowMicros, request, actions) -> actions.sendAttempt(request.id(), "u0", nowMicros + 100_000);
            client.send(SidecarFixture.idempotentRequest("a1", 20_000));
            assertEquals("outcome a1 0 TIMEOUT false -", fixture.awaitEvent("outcome"));
            assertEquals(-1, server.acceptedSockets.take().getInputStream().read(), "the connection was left open");
            assertEquals(502, client.readStatus());
            server.handler = (request, connection) -> connection.respond("200 OK", "", "fresh");
            fixture.onRequest = (nowMicros, request, actions) -> actions.sendAttempt(request.id(), "u0", 0);
            client.send(SidecarFixture.idempotentRequest("a2", 20_000));
            assertEquals("fresh", client.readResponse().body());
            assertNotNull(server.acceptedSockets.poll(20, TimeUnit.SECONDS));
        }
    }

    @Test
    void reportsCancelledAttempt() throws Exception {
        try (SidecarFixture fixture = startFixture((request, connection) -> {});
                StubServer.Client client = fixture.client()) {
            fixture.onRequest = (nowMicros, request, actions) -> {
                actions.sendAttempt(request.id(), "u0", 0);
                actions.cancelAttempt(request.id(), 0);
            };
            client.send(SidecarFixture.idempotentRequest("a1", 20_000));
            assertEquals("outcome a1 0 CANCELLED false -", fixture.awaitEvent("outcome"));
        }
    }

    /** A late response to a cancelled attempt must not be mistaken for that to another one. */
    @Test
    void closesConnectionOfCancelledAttempt() throws Exception {
        try (SidecarFixture fixture = startFixture((request, connection) -> {});
                StubServer.Client client = fixture.client();
                StubServer.Client other = fixture.client()) {
            StubServer server = fixture.endpointServers.get(0);
            fixture.onRequest = (nowMicros, request, actions) -> {
                if (request.id().equals("a1")) {
                    actions.sendAttempt("a1", "u0", 0);
                } else {
                    actions.cancelAttempt("a1", 0);
                    actions.fail(request.id());
                }
            };
            client.send(SidecarFixture.idempotentRequest("a1", 20_000));
            assertEquals("a1", server.nextRequest().header("X-Txn"));
            other.send(SidecarFixture.idempotentRequest("a2", 20_000));
            assertEquals("outcome a1 0 CANCELLED false -", fixture.awaitEvent("outcome"));
            assertEquals(-1, server.acceptedSockets.take().getInputStream().read(), "the connection was left open");
        }
    }

    /**
     * Neither Netty nor the pool may send a request twice. If a reused connection turns out to be closed, the call must
     * end as a reset.
     */
    @Test
    void reportsResetOfStaleConnectionWithoutResending() throws Exception {
        Set<Socket> usedSockets = ConcurrentHashMap.newKeySet();
        try (SidecarFixture fixture = startFixture((request, connection) -> {
                    if (usedSockets.add(connection.socket())) {
                        connection.respond("200 OK", "", "one");
                    } else {
                        connection.reset();
                    }
                });
                StubServer.Client client = fixture.client()) {
            StubServer server = fixture.endpointServers.get(0);
            int calls = 0;
            String outcome;
            // The endpoint resets the first connection that is reused.
            do {
                client.send(SidecarFixture.idempotentRequest("a" + ++calls, 20_000));
                outcome = fixture.awaitEvent("outcome a" + calls);
                assertEquals(outcome.contains(" OK ") ? 200 : 502, client.readStatus());
            } while (outcome.contains(" OK "));
            assertEquals("outcome a" + calls + " 0 RESET false -", outcome);
            assertEquals(calls, server.receivedRequests.size());
            assertEquals(calls - 1, server.acceptedSockets.size(), "the last call did not use an idle connection");
        }
    }

    /** A call on a connection that the endpoint has announced to close would end as a reset. */
    @Test
    void doesNotReuseConnectionThatEndpointCloses() throws Exception {
        try (SidecarFixture fixture = startFixture(
                        (request, connection) -> connection.respond("200 OK", "Connection: close\r\n", "one"));
                StubServer.Client client = fixture.client()) {
            StubServer server = fixture.endpointServers.get(0);
            for (String id : new String[] {"a1", "a2"}) {
                client.send(SidecarFixture.idempotentRequest(id, 20_000));
                assertEquals(200, client.readStatus());
            }
            assertEquals(2, server.acceptedSockets.size());
        }
    }

    /**
     * Endpoints send larger responses than the protocol states. If the size were limited accordingly, each retry would
     * fail for the same reason at another endpoint.
     */
    @Test
    void forwardsLargeResponse() throws Exception {
        try (SidecarFixture fixture =
                        startFixture((request, connection) -> connection.respond("200 OK", "", "z".repeat(400_000)));
                StubServer.Client client = fixture.client()) {
            client.send(SidecarFixture.idempotentRequest("a1", 20_000));
            assertEquals(400_000, client.readResponse().body().length());
        }
    }

    @Test
    void forwardsRequestAndResponseUnchanged() throws Exception {
        try (SidecarFixture fixture = startFixture((request, connection) ->
                        connection.respond("200 OK", "", "b\u00f6dy\u0000" + "y".repeat(60_000)));
                StubServer.Client client = fixture.client()) {
            StubServer server = fixture.endpointServers.get(0);
            client.send("POST /api/x?y=%20z HTTP/1.1\r\nHost: a\r\nX-Txn: q7\r\nX-Lane: k\r\nX-Remaining-Ms: 9000\r\n"
                    + "Idempotency-Key: k9\r\nContent-Length: 5\r\n\r\nh\u00e9llo");
            StubServer.Message response = client.readResponse();
            assertEquals("b\u00f6dy\u0000" + "y".repeat(60_000), response.body());
            StubServer.Message sent = server.nextRequest();
            assertTrue(sent.head().startsWith("POST /api/x?y=%20z HTTP/1.1\r\n"), sent.head());
            assertEquals("q7", sent.header("X-Txn"));
            assertEquals("k9", sent.header("Idempotency-Key"));
            assertEquals("h\u00e9llo", sent.body());
            int remainingMillis = Integer.parseInt(sent.header("X-Remaining-Ms"));
            assertTrue(remainingMillis > 0 && remainingMillis <= 9000, "X-Remaining-Ms is " + remainingMillis);
        }
    }
}
