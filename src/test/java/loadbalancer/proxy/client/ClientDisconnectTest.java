package loadbalancer.proxy.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.Semaphore;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.StubServer;
import loadbalancer.proxy.upstream.UpstreamConnectionPool;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against attempts that are sent for a client that has already disconnected. If the event loop is late, it reads
 * the client's request, its disconnection and other events in one iteration and in any order. To make the loop late,
 * the load balancer of these tests blocks it on requests whose id begins with {@code block}.
 */
@Timeout(60)
class ClientDisconnectTest {
    /** Each case is repeated, because the order in which the operating system reports ready sockets varies. */
    private static final int ROUNDS = 6;

    private final Semaphore blocked = new Semaphore(0);
    private final Semaphore unblock = new Semaphore(0);
    private SidecarFixture fixture;

    private enum Disconnection {
        CLOSE,
        RESET;

        static Disconnection ofRound(int round) {
            return round % 2 > 0 ? RESET : CLOSE;
        }
    }

    @BeforeEach
    void createFixture() throws Exception {
        fixture = new SidecarFixture();
        fixture.addEndpoint((request, connection) -> connection.respond("200 OK", "", request.header("X-Txn")));
        fixture.onRequest = (nowMicros, request, actions) -> {
            if (request.id().startsWith("block")) {
                blocked.release();
                unblock.acquireUninterruptibly();
                actions.fail(request.id());
            } else {
                actions.sendAttempt(request.id(), "u0", 0);
            }
        };
    }

    @AfterEach
    void closeFixture() throws Exception {
        fixture.close();
    }

    private void blockLoop(StubServer.Client blocker, int round) throws Exception {
        blocker.send(SidecarFixture.idempotentRequest("block" + round, 20_000));
        blocked.acquire();
    }

    /**
     * Unblocks the loop after a wait, so that a read from before the clients disconnected is too old for an attempt to
     * start.
     */
    private void unblockLoop(StubServer.Client blocker) throws Exception {
        Thread.sleep(2 * ReadTrackingEventLoop.MAX_READ_AGE_MICROS / 1000);
        unblock.release();
        assertEquals(502, blocker.readStatus());
    }

    private static void disconnect(StubServer.Client client, Disconnection disconnection) throws IOException {
        if (disconnection == Disconnection.RESET) {
            client.socket.setSoLinger(true, 0);
        }
        client.close();
    }

    private static void assertStatus(int expected, StubServer.Client client, String request) throws IOException {
        assertEquals(expected, client.send(request).readStatus());
    }

    /**
     * Asserts that the attempt was withdrawn or never started. An attempt that was sent would have another outcome,
     * because the endpoint responds to it.
     */
    private void assertNeverSent(String id) throws Exception {
        assertEquals("outcome " + id + " 0 NOT_SENT true -", fixture.awaitEvent("outcome " + id + " 0"));
    }

    @Test
    void sendsNoAttemptForRequestReadTogetherWithDisconnection() throws Exception {
        fixture.start();
        try (StubServer.Client blocker = fixture.client()) {
            for (int round = 0; round < ROUNDS; round++) {
                StubServer.Client accepted = fixture.client();
                assertStatus(200, accepted, SidecarFixture.idempotentRequest("first" + round, 20_000));
                blockLoop(blocker, round);
                accepted.send(SidecarFixture.idempotentRequest("gone" + round, 20_000));
                disconnect(accepted, Disconnection.CLOSE);
                // This connection waits in the accept backlog, together with its request and its end.
                StubServer.Client unaccepted = fixture.client();
                unaccepted.send(SidecarFixture.idempotentRequest("new" + round, 20_000));
                disconnect(unaccepted, Disconnection.CLOSE);
                unblockLoop(blocker);
                assertNeverSent("gone" + round);
                assertNeverSent("new" + round);
            }
        }
    }

    /**
     * Adds the endpoint {@code full} to the endpoint list and sends it the requests whose id begins with {@code gone}.
     */
    private void routeToFullEndpoint(ServerSocket endpoint) {
        String address = "127.0.0.1:" + endpoint.getLocalPort();
        fixture.discovery.handler = (request, connection) -> {
            if (request.path().contains("index=41&")) {
                String entry = SidecarFixture.endpointJson("full", address, "Ready", 0);
                connection.respond("200 OK", "", SidecarFixture.endpointListJson(42, false, entry));
            }
        };
        SidecarFixture.RequestCallback defaultCallback = fixture.onRequest;
        fixture.onRequest = (nowMicros, request, actions) -> {
            if (request.id().startsWith("gone")) {
                actions.sendAttempt(request.id(), "full", 0);
            } else {
                defaultCallback.handle(nowMicros, request, actions);
            }
        };
    }

    /**
     * The backlog of the endpoint is full, so the connection for the attempt is established only when the test accepts
     * the connections before it.
     */
    @Test
    void sendsNoAttemptOnConnectionEstablishedDuringDisconnection() throws Exception {
        try (ServerSocket endpoint = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            routeToFullEndpoint(endpoint);
            fixture.start();
            fixture.awaitEvent("list FULL u0=READY,full=READY");
            try (StubServer.Client blocker = fixture.client()) {
                for (int round = 0; round < 3; round++) {
                    List<Socket> fillers = List.of(
                            new Socket(endpoint.getInetAddress(), endpoint.getLocalPort()),
                            new Socket(endpoint.getInetAddress(), endpoint.getLocalPort()));
                    StubServer.Client client = fixture.client();
                    client.send(SidecarFixture.idempotentRequest("gone" + round, 20_000));
                    fixture.awaitEvent("request gone" + round);
                    // This request is read in a later iteration, when the attempt's connection is already being opened.
                    assertStatus(404, blocker, "GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n");
                    blockLoop(blocker, round);
                    disconnect(client, Disconnection.ofRound(round));
                    for (Socket filler : fillers) {
                        endpoint.accept().close();
                        filler.close();
                    }
                    try (Socket established = endpoint.accept()) {
                        unblockLoop(blocker);
                        assertNeverSent("gone" + round);
                        assertEquals(
                                -1,
                                established.getInputStream().read(),
                                "an attempt was sent for a client that had disconnected");
                    }
                }
            }
        }
    }

    private void awaitRequestAtFirstEndpoint(String id) throws InterruptedException {
        StubServer.Message request;
        do {
            request = fixture.endpointServers.get(0).nextRequest();
        } while (!request.header("X-Txn").equals(id));
    }

    /**
     * Makes the load balancer send requests whose id begins with {@code warm} to the second endpoint, which leaves an
     * idle connection to it. For requests whose id begins with {@code rest}, the load balancer starts a timer that
     * fires once that connection may be reused, and fails the request.
     */
    private void routeWarmUpToSecondEndpoint() {
        SidecarFixture.RequestCallback defaultCallback = fixture.onRequest;
        fixture.onRequest = (nowMicros, request, actions) -> {
            if (request.id().startsWith("warm")) {
                actions.sendAttempt(request.id(), "u1", 0);
            } else if (request.id().startsWith("rest")) {
                actions.startTimer("rested", 2 * UpstreamConnectionPool.REUSE_DELAY_MICROS);
                actions.fail(request.id());
            } else {
                defaultCallback.handle(nowMicros, request, actions);
            }
        };
    }

    @Test
    void sendsNoRetryAfterFailureReadTogetherWithDisconnection() throws Exception {
        Semaphore fail = new Semaphore(0);
        Semaphore failed = new Semaphore(0);
        fixture.endpointServers.get(0).handler = (request, connection) -> {
            if (request.header("X-Txn").startsWith("gone")) {
                fail.acquireUninterruptibly();
                connection.respond("500 No", "", "");
                failed.release();
            } else {
                connection.respond("200 OK", "", "");
            }
        };
        StubServer secondEndpoint = fixture.addEndpoint((request, connection) -> connection.respond("200 OK", "", ""));
        routeWarmUpToSecondEndpoint();
        fixture.onOutcome = (requestId, outcome, requestFinished, actions) -> {
            if (!requestFinished) {
                actions.sendAttempt(requestId, "u1", 0);
            }
        };
        fixture.start();
        try (StubServer.Client blocker = fixture.client()) {
            for (int round = 0; round < ROUNDS; round++) {
                // Leaves an idle connection to the second endpoint, on which a retry could be written at once.
                assertStatus(200, blocker, SidecarFixture.idempotentRequest("warm" + round, 20_000));
                assertStatus(502, blocker, SidecarFixture.idempotentRequest("rest" + round, 20_000));
                fixture.awaitEvent("timer rested");
                StubServer.Client client = fixture.client();
                client.send(SidecarFixture.idempotentRequest("gone" + round, 20_000));
                awaitRequestAtFirstEndpoint("gone" + round);
                blockLoop(blocker, round);
                fail.release();
                failed.acquire();
                disconnect(client, Disconnection.ofRound(round));
                unblockLoop(blocker);
                fixture.awaitEvent("expired gone" + round);
            }
        }
        for (StubServer.Message request : secondEndpoint.receivedRequests) {
            assertTrue(
                    request.header("X-Txn").startsWith("warm"),
                    "an attempt was sent for a client that had disconnected");
        }
    }
}
