package loadbalancer.proxy.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import loadbalancer.decision.AttemptOutcome;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.StubServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Checks that every accepted request gets exactly one final response, whatever the load balancer and the client do. */
@Timeout(60)
class RequestLifecycleTest {
    private static final String UNKNOWN_PATH = "GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n";

    private static void assertStatus(int expected, StubServer.Client client, String request) throws IOException {
        assertEquals(expected, client.send(request).readStatus());
    }

    @Test
    void writesRejectionAtOnceWithRetryAfter() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.onRequest = (nowMicros, request, actions) -> {
                actions.reject(request.id(), 165_000);
                actions.fail(request.id());
                actions.reject(request.id(), 0);
            };
            fixture.start();
            try (StubServer.Client client = fixture.client()) {
                client.send(SidecarFixture.idempotentRequest("a1", 20_000));
                StubServer.Message response = client.readResponse();
                assertTrue(response.head().startsWith("HTTP/1.1 503 "), response.head());
                assertEquals("0.165", response.header("Retry-After"));
                // The next response belongs to the next request, because the first request gets only one response.
                assertStatus(404, client, UNKNOWN_PATH);
            }
        }
    }

    /** The client gets a response before it stops waiting even if the load balancer makes no decision. */
    @Test
    void failsRequestWithoutDecisionBeforeClientStopsWaiting() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.onRequest = (nowMicros, request, actions) -> {};
            fixture.start();
            try (StubServer.Client client = fixture.client()) {
                assertStatus(502, client, SidecarFixture.idempotentRequest("a1", 300));
                assertEquals("expired a1", fixture.awaitEvent("expired"));
            }
        }
    }

    @Test
    void timesOutAttemptAtDeadlineAndLetsLoadBalancerRespond() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.addEndpoint((request, connection) -> {});
            fixture.onRequest =
                    (nowMicros, request, actions) -> actions.sendAttempt(request.id(), "u0", nowMicros + 60_000_000);
            fixture.start();
            try (StubServer.Client client = fixture.client()) {
                assertStatus(502, client, SidecarFixture.idempotentRequest("a1", 300));
                assertEquals("outcome a1 0 TIMEOUT false -", fixture.awaitEvent("outcome"));
            }
        }
    }

    /**
     * If the load balancer throws an exception, only the request that it was handling fails. If it throws in a timer,
     * the requests without an attempt in flight fail, here the request {@code a3}.
     */
    @Test
    void failsOnlyRequestForWhichLoadBalancerThrows() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.addEndpoint((request, connection) -> connection.respond("500 No", "", ""));
            fixture.onRequest = (nowMicros, request, actions) -> {
                throw new IllegalStateException("thrown by the test");
            };
            fixture.start();
            try (StubServer.Client client = fixture.client()) {
                assertStatus(502, client, SidecarFixture.idempotentRequest("a1", 20_000));
                fixture.onRequest = (nowMicros, request, actions) -> actions.sendAttempt(request.id(), "u0", 0);
                fixture.onOutcome = (requestId, outcome, requestFinished, actions) -> {
                    throw new IllegalStateException("thrown by the test");
                };
                assertStatus(502, client, SidecarFixture.idempotentRequest("a2", 20_000));
                fixture.onRequest = (nowMicros, request, actions) -> actions.startTimer("break", 1);
                assertStatus(502, client, SidecarFixture.idempotentRequest("a3", 20_000));
            }
        }
    }

    @Test
    void endsOnlyRequestOfDisconnectedClient() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.addEndpoint((request, connection) -> {});
            fixture.start();
            try (StubServer.Client client = fixture.client()) {
                client.send(SidecarFixture.idempotentRequest("a1", 20_000));
                fixture.awaitEvent("request");
            }
            assertEquals("expired a1", fixture.awaitEvent("expired"));
            fixture.onRequest = (nowMicros, request, actions) -> actions.fail(request.id());
            try (StubServer.Client client = fixture.client()) {
                assertStatus(502, client, SidecarFixture.idempotentRequest("a2", 20_000));
            }
        }
    }

    /** A half-closed connection counts as closed, because the sidecar can't distinguish the two in time. */
    @Test
    void treatsHalfClosedConnectionAsDisconnected() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.addEndpoint((request, connection) -> {});
            fixture.start();
            try (StubServer.Client client = fixture.client()) {
                client.send(SidecarFixture.idempotentRequest("a1", 20_000));
                fixture.awaitEvent("request");
                client.socket.shutdownOutput();
                assertEquals("expired a1", fixture.awaitEvent("expired"));
                assertTrue(client.isClosedBySidecar());
            }
        }
    }

    /** A response that arrives after the final response, as with a hedged request, must not reach the client. */
    @Test
    void writesFirstResponseAndOnlyReportsLaterOne() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            BlockingQueue<StubServer.Connection> unanswered = new LinkedBlockingQueue<>();
            fixture.addEndpoint((request, connection) -> unanswered.add(connection));
            fixture.addEndpoint((request, connection) -> connection.respond("200 OK", "", "second"));
            fixture.onRequest = (nowMicros, request, actions) -> actions.sendAttempt(request.id(), "u0", 0);
            fixture.onOutcome = (requestId, outcome, requestFinished, actions) -> {};
            fixture.start();
            try (StubServer.Client client = fixture.client()) {
                client.send(SidecarFixture.idempotentRequest("a1", 20_000));
                fixture.endpointServers.get(0).nextRequest();
                fixture.onRequest = (nowMicros, request, actions) -> {
                    actions.sendAttempt("a1", "u1", 0);
                    actions.fail(request.id());
                };
                try (StubServer.Client other = fixture.client()) {
                    assertStatus(502, other, SidecarFixture.idempotentRequest("a2", 20_000));
                }
                assertEquals("second", client.readResponse().body());
                assertEquals("outcome a1 1 OK true -", fixture.awaitEvent("outcome"));
                unanswered.take().respond("200 OK", "", "first");
                assertEquals("outcome a1 0 OK true -", fixture.awaitEvent("outcome"));
                assertStatus(404, client, UNKNOWN_PATH);
            }
        }
    }

    @Test
    void sendsNoAttemptBeyondMaximum() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            StubServer endpoint = fixture.addEndpoint((request, connection) -> connection.respond("500 No", "", ""));
            fixture.onOutcome = (requestId, outcome, requestFinished, actions) -> {
                if (outcome == AttemptOutcome.NOT_SENT) {
                    actions.fail(requestId);
                } else {
                    actions.sendAttempt(requestId, "u0", 0);
                }
            };
            fixture.start();
            try (StubServer.Client client = fixture.client()) {
                assertStatus(502, client, SidecarFixture.idempotentRequest("a1", 20_000));
                assertEquals(4, endpoint.receivedRequests.size());
            }
        }
    }

    @Test
    void respondsToPipelinedRequestsInOrder() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.addEndpoint((request, connection) -> connection.respond("200 OK", "", request.header("X-Txn")));
            fixture.start();
            try (StubServer.Client client = fixture.client()) {
                client.send(pipelined(40));
                for (int i = 0; i < 40; i++) {
                    assertEquals("p" + i, client.readResponse().body());
                }
            }
        }
    }

    private static String pipelined(int count) {
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < count; i++) {
            requests.append(SidecarFixture.idempotentRequest("p" + i, 20_000));
        }
        return requests.toString();
    }

    /**
     * The client's disconnection is noticed behind any number of pipelined requests, and none of the waiting requests
     * is dispatched.
     */
    @Test
    void noticesDisconnectionBehindPipelinedRequests() throws Exception {
        for (int count : new int[] {2, 20, 2_000}) {
            try (SidecarFixture fixture = new SidecarFixture()) {
                fixture.addEndpoint((request, connection) -> {});
                fixture.start();
                fixture.awaitEvent("list FULL");
                try (StubServer.Client client = fixture.client()) {
                    client.send(pipelined(count));
                }
                assertEquals("expired p0", fixture.awaitEvent("expired"));
                try (StubServer.Client other = fixture.client()) {
                    other.send(SidecarFixture.idempotentRequest("other", 20_000));
                    // No pipelined request was dispatched in between.
                    assertTrue(fixture.events.take().startsWith("request other "));
                }
            }
        }
    }

    /**
     * A client that pipelines too many requests gets the responses to the first requests and a 503; then the connection
     * closes.
     */
    /** Sends this number of requests at once; the endpoint answers only after they were received. */
    private static List<Integer> statusesOfPipelinedRequests(int count) throws Exception {
        ResponseGate gate = new ResponseGate();
        List<Integer> statuses = new ArrayList<>();
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.addEndpoint((request, connection) -> {
                gate.await();
                connection.respond("200 OK", "", request.header("X-Txn"));
            });
            fixture.start();
            try (StubServer.Client client = fixture.client()) {
                client.send(pipelined(count));
                fixture.awaitEvent("request p0");
                gate.open();
                for (int status; statuses.size() < count && (status = client.readStatus()) > 0; ) {
                    statuses.add(status);
                }
            }
        }
        return statuses;
    }

    /**
     * Guards against requests of a client that sends many at once and that are read but get no answer: those beyond the
     * limit are rejected in their turn.
     */
    @Test
    void rejectsPipelinedRequestsBeyondLimitInTheirTurn() throws Exception {
        List<Integer> statuses = statusesOfPipelinedRequests(2_000);
        assertEquals(2_000, statuses.size());
        int served = statuses.indexOf(503);
        assertTrue(served > 40, served + " requests were served before the first rejected one");
        assertEquals(2_000 - served, Collections.frequency(statuses, 503));
    }

    /** Whatever a client sends, what the sidecar holds for it has a limit. */
    @Test
    void limitsPipelinedRequests() throws Exception {
        List<Integer> statuses = statusesOfPipelinedRequests(8_000);
        int served = statuses.indexOf(503);
        assertTrue(served > 40 && served < 2_000, served + " requests were served");
        assertTrue(statuses.size() < 8_000, "not closed after " + statuses.size() + " responses");
        assertEquals(503, statuses.get(statuses.size() - 1));
    }

    /**
     * Even if as many clients as allowed have requests, there are enough file descriptors for an upstream connection
     * for each of them.
     */
    @Test
    void reservesDescriptorForUpstreamConnectionOfEachClient() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            StubServer endpoint = fixture.addEndpoint((request, connection) -> {});
            // 48 descriptors are reserved for the process; a third of all descriptors is for clients with requests.
            fixture.descriptorLimit = 192;
            fixture.start();
            StubServer.Client[] clients = new StubServer.Client[192 / 3];
            for (int i = 0; i < clients.length; i++) {
                clients[i] = fixture.client();
                clients[i].send(SidecarFixture.idempotentRequest("c" + i, 30_000));
            }
            for (int i = 0; i < clients.length; i++) {
                endpoint.nextRequest();
            }
            for (StubServer.Client client : clients) {
                client.close();
            }
        }
    }

    /** The protocol counts the deadline from the last byte, however slowly the client sends the request. */
    @Test
    void countsDeadlineFromLastByteOfRequest() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.onRequest = (nowMicros, request, actions) -> actions.fail(request.id());
            fixture.start();
            try (StubServer.Client client = fixture.client()) {
                String request = SidecarFixture.idempotentRequest("slow", 200);
                client.send(request.substring(0, request.length() / 2));
                Thread.sleep(250);
                client.send(request.substring(request.length() / 2));
                assertEquals(502, client.readStatus());
                long remainingMicros =
                        Long.parseLong(fixture.awaitEvent("request slow ").split(" ")[2]);
                assertTrue(
                        remainingMicros > 100_000,
                        "the client waits for 200 ms, but the request was dispatched with " + remainingMicros
                                + " us remaining");
            }
        }
    }
}
