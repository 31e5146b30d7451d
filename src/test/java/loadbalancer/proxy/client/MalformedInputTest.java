package loadbalancer.proxy.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import loadbalancer.proxy.configuration.ConfigurationException;
import loadbalancer.proxy.configuration.SidecarConfigurationReader;
import loadbalancer.proxy.discovery.WatchTimeouts;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.StubServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Checks how the sidecar handles invalid requests, incomplete requests and invalid configurations. */
@Timeout(60)
class MalformedInputTest {
    private static void assertStatus(int expected, StubServer.Client client, String request) throws IOException {
        assertEquals(expected, client.send(request).readStatus());
    }

    @Test
    void respondsToRequestWithStatusOfItsError() throws Exception {
        String valid = SidecarFixture.idempotentRequest("a1", 9000);
        Map<String, Integer> cases = new LinkedHashMap<>();
        cases.put("RUBBISH\r\n\r\n", 400);
        cases.put("GET /api HTTP/1.1\r\n: : :\r\nbad header\r\n\r\n", 400);
        cases.put(valid.replace("X-Txn: a1\r\n", ""), 400);
        cases.put(valid.replace("X-Lane: c", "X-Lane: nobody"), 400);
        cases.put(valid.replace("X-Lane: c\r\n", ""), 400);
        for (String remaining : new String[] {"", "soon", "-5", "0", "1.5", "99999999999999999999"}) {
            cases.put(valid.replace("X-Remaining-Ms: 9000", "X-Remaining-Ms: " + remaining), 400);
        }
        cases.put(valid.replace("GET", "DELETE"), 400);
        cases.put(valid.replace("GET", "POST"), 400);
        cases.put(valid.replace("X-Lane: c", "X-Lane: k"), 400);
        cases.put(valid.replace("GET", "POST").replace("X-Lane: c", "X-Lane: k"), 400);
        cases.put(valid.replace("X-Txn: a1", "X-Txn: a1\r\nX-Txn: a2"), 400);
        cases.put(valid.replace("X-Txn: a1", "X-Txn: a 1"), 400);
        cases.put(valid.replace("X-Txn: a1", "X-Txn: " + "a".repeat(200)), 400);
        cases.put(valid.replace("X-Lane: c", "X-Lane: c\r\nX-Lane: k"), 400);
        cases.put(valid.replace("X-Txn: a1", "X-Txn: a1\r\nContent-Length: 1") + "x", 400);
        cases.put(valid.replace("/api/slots", "/api/\u00e4"), 400);
        cases.put(valid.replace("HTTP/1.1", "HTTP/7.3"), 400);
        cases.put(valid.replace("X-Txn: a1", "a line without a colon"), 400);
        cases.put("GET /api HTTP/1.1\r\nX-Endless: " + "x".repeat(20_000), 400);
        cases.put("GET /elsewhere HTTP/1.1\r\nHost: a\r\n\r\n", 404);
        cases.put("GET /apiary HTTP/1.1\r\nHost: a\r\n\r\n", 404);
        cases.put("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n", 200);
        cases.put(
                "POST /api HTTP/1.1\r\nX-Txn: a1\r\nX-Lane: k\r\nX-Remaining-Ms: 9000\r\n"
                        + "Idempotency-Key: k1\r\nContent-Length: 65537\r\n\r\n"
                        + "x".repeat(65_537),
                413);
        cases.put(
                "POST /api HTTP/1.1\r\nX-Txn: a1\r\nX-Lane: k\r\nX-Remaining-Ms: 9000\r\n"
                        + "Idempotency-Key: k1\r\nContent-Length: 65536\r\n\r\n"
                        + "x".repeat(65_536),
                200);
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.addEndpoint((request, connection) -> connection.respond("200 OK", "", "ok"));
            fixture.start();
            fixture.awaitEvent("list FULL");
            for (Map.Entry<String, Integer> entry : cases.entrySet()) {
                try (StubServer.Client client = fixture.client()) {
                    client.send(entry.getKey());
                    assertEquals(
                            entry.getValue(),
                            client.readStatus(),
                            entry.getKey().lines().limit(9).toList().toString());
                }
            }
        }
    }

    /**
     * Guards against request smuggling: if two parsers may disagree on the end of a request, nothing that follows it is
     * forwarded. The error response does not wait for a body that is too long.
     */
    @Test
    void closesConnectionWithoutForwardingSmuggledRequest() throws Exception {
        String smuggled = SidecarFixture.idempotentRequest("hidden", 9000);
        String head = "POST /api HTTP/1.1\r\nX-Txn: a1\r\nX-Lane: k\r\nX-Remaining-Ms: 9000\r\nIdempotency-Key: k1\r\n";
        String chunked = "Transfer-Encoding: chunked\r\n";
        Map<String, Integer> cases = new LinkedHashMap<>();
        cases.put(head + chunked + "Content-Length: 4\r\n\r\n0\r\n\r\n" + smuggled, 400);
        cases.put(head + "Content-Length: 4\r\n" + chunked + "\r\n0\r\n\r\n" + smuggled, 400);
        cases.put(head + "Transfer-Encoding: identity\r\n\r\n" + smuggled, 400);
        cases.put(head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + smuggled, 400);
        cases.put(head + "Content-Length: 4\r\nContent-Length: 0\r\n\r\n" + smuggled, 400);
        cases.put(head + "Content-Length: -1\r\n\r\n" + smuggled, 400);
        cases.put(head + "Content-Length: 0x10\r\n\r\n" + smuggled, 400);
        cases.put(head + "Content-Length: 60000000\r\n\r\n" + smuggled, 413);
        cases.put(head + chunked + "\r\nzz\r\n" + smuggled, 400);
        cases.put(head.replace("X-Lane: k", "X-Lane: none") + "\r\n" + smuggled, 400);
        try (SidecarFixture fixture = new SidecarFixture()) {
            StubServer endpoint = fixture.addEndpoint((request, connection) -> connection.respond("200 OK", "", "ok"));
            fixture.start();
            for (Map.Entry<String, Integer> entry : cases.entrySet()) {
                try (StubServer.Client client = fixture.client()) {
                    client.send(entry.getKey());
                    assertEquals(entry.getValue(), client.readStatus(), entry.getKey());
                    assertTrue(client.isClosedBySidecar(), entry.getKey());
                }
            }
            assertTrue(endpoint.receivedRequests.isEmpty(), "a smuggled request was forwarded");
        }
    }

    /** The error response to an invalid request must not overtake the response to the request before it. */
    @Test
    void writesErrorResponseAfterPendingResponse() throws Exception {
        ResponseGate gate = new ResponseGate();
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.addEndpoint((request, connection) -> {
                gate.await();
                connection.respond("200 OK", "", "first");
            });
            fixture.start();
            try (StubServer.Client client = fixture.client()) {
                client.send(SidecarFixture.idempotentRequest("a1", 20_000)
                        + "POST /api HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 70000\r\n\r\n");
                fixture.awaitEvent("request a1");
                gate.open();
                assertEquals("first", client.readResponse().body());
                assertEquals(413, client.readStatus());
                assertTrue(client.isClosedBySidecar());
            }
        }
    }

    /**
     * Silent clients and incomplete requests occupy file descriptors, so their connections must be closed within 3 s of
     * connecting. A connection that is idle after a response is closed later. This test checks only that all of them
     * are closed; {@link ConnectionActivityTest} checks the times.
     */
    @Test
    void closesConnectionsOfSilentClientsAndIncompleteRequests() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.addEndpoint((request, connection) -> connection.respond("200 OK", "", "ok"));
            fixture.start();
            try (StubServer.Client silent = fixture.client();
                    StubServer.Client partialHead = fixture.client();
                    StubServer.Client partialBody = fixture.client();
                    StubServer.Client afterOneRequest = fixture.client()) {
                partialHead.send("GET /api HTTP/1.1\r\nX-T");
                partialBody.send("POST /api HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
                assertStatus(200, afterOneRequest, SidecarFixture.idempotentRequest("a1", 20_000));
                assertTrue(silent.isClosedBySidecar());
                assertEquals(408, partialHead.readStatus());
                assertEquals(408, partialBody.readStatus());
                assertTrue(partialHead.isClosedBySidecar() && partialBody.isClosedBySidecar());
                assertTrue(afterOneRequest.isClosedBySidecar(), "the connection was left open after a single request");
            }
        }
    }

    /** A client may pipeline requests and stop within one. It gets its error although the first part came in time. */
    @Test
    void respondsToRequestThatStopsAfterPipelinedOne() throws Exception {
        String[] parts = {
            "G",
            "GET /api HTTP/1.1\r\n",
            "GET /api HTTP/1.1\r\nX-T",
            "POST /api HTTP/1.1\r\nContent-Length: 10\r\n\r\n",
            "POST /api HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf",
        };
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.addEndpoint(StubServer.echoingRequestId());
            fixture.start();
            List<StubServer.Client> clients = new ArrayList<>();
            for (int i = 0; i < parts.length; i++) {
                clients.add(fixture.client().send(SidecarFixture.idempotentRequest("a" + i, 20_000) + parts[i]));
            }
            for (int i = 0; i < parts.length; i++) {
                try (StubServer.Client client = clients.get(i)) {
                    assertEquals("a" + i, client.readResponse().body());
                    assertEquals(408, client.readStatus(), parts[i]);
                }
            }
            try (StubServer.Client client = fixture.client()) {
                client.send(SidecarFixture.idempotentRequest("b", 20_000) + "\r\n");
                assertEquals("b", client.readResponse().body());
                assertEquals(-1, client.readStatus(), "an empty line after a request is not part of another one");
            }
        }
    }

    /** Without this limit, a client could make the sidecar hold a request and its resources for days. */
    @Test
    void limitsRemainingTimeOfRequestToDeadlineOfItsClass() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.addEndpoint((request, connection) -> connection.respond("200 OK", "", "ok"));
            fixture.start();
            try (StubServer.Client client = fixture.client()) {
                assertStatus(200, client, SidecarFixture.idempotentRequest("a1", 999_999_999));
                assertTrue(Long.parseLong(fixture.awaitEvent("request").split(" ")[2]) <= 60_000_000);
            }
        }
    }

    /** If two open requests had the same id, one response could go to two clients. */
    @Test
    void rejectsIdOfOpenRequest() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.addEndpoint((request, connection) -> {});
            fixture.start();
            try (StubServer.Client first = fixture.client();
                    StubServer.Client other = fixture.client()) {
                first.send(SidecarFixture.idempotentRequest("a1", 20_000));
                fixture.awaitEvent("request a1");
                assertStatus(400, other, SidecarFixture.idempotentRequest("a1", 20_000));
            }
        }
    }

    /**
     * Guards against a request that is executed a second time, because it comes again with the same id after its client
     * has left. One that no endpoint has received may come again.
     */
    @Test
    void rejectsIdOfExecutedRequestWhoseClientHasLeft() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            StubServer endpoint = fixture.addEndpoint((request, connection) -> {
                StubServer.sleep(50);
                connection.respond("200 OK", "", "served");
            });
            fixture.onRequest = (nowMicros, request, actions) -> {
                if (!request.id().startsWith("queued")) {
                    actions.sendAttempt(request.id(), "u0", 0);
                }
            };
            fixture.start();
            for (String id : List.of("executed-first", "executed-second", "queued")) {
                StubServer.Client leaving = fixture.client();
                leaving.send(SidecarFixture.idempotentRequest(id, 20_000));
                fixture.awaitEvent("request " + id);
                if (!id.equals("queued")) {
                    assertEquals(id, endpoint.nextRequest().header("X-Txn"));
                }
                leaving.close();
                fixture.awaitEvent("expired " + id);
            }
            // Then the attempts have ended too.
            fixture.awaitEvent("outcome executed-second");
            for (String id : List.of("executed-first", "executed-second")) {
                try (StubServer.Client again = fixture.client()) {
                    assertStatus(400, again, SidecarFixture.idempotentRequest(id, 20_000));
                }
            }
            fixture.onRequest = (nowMicros, request, actions) -> actions.sendAttempt(request.id(), "u0", 0);
            try (StubServer.Client again = fixture.client()) {
                assertStatus(200, again, SidecarFixture.idempotentRequest("queued", 20_000));
            }
        }
    }

    /** A start while no endpoint is left must not fail; it may take long until there is one. */
    @Test
    void reportsReadyWithoutEndpointOnceDiscoveryHasAnswered() throws Exception {
        CountDownLatch answered = new CountDownLatch(1);
        StubServer.RequestHandler discovery = (request, connection) -> {
            StubServer.awaitLatch(answered);
            connection.respond("200 OK", "", SidecarFixture.endpointListJson(41, true));
        };
        try (SidecarFixture fixture = new SidecarFixture(discovery)) {
            fixture.watchTimeouts = new WatchTimeouts(60_000, 0, 60_000, 60_000);
            fixture.start();
            try (StubServer.Client client = fixture.client()) {
                String readiness = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";
                assertEquals(503, client.send(readiness).readStatus());
                answered.countDown();
                fixture.awaitEvent("list FULL");
                assertEquals(200, client.send(readiness).readStatus());
            }
        }
    }

    private static void assertConfigurationError(String json, String... expectedWords) {
        ConfigurationException error =
                assertThrows(ConfigurationException.class, () -> SidecarFixture.parseConfiguration(json));
        for (String word : expectedWords) {
            assertTrue(error.getMessage().contains(word), error.getMessage());
        }
        assertEquals(1, error.getMessage().lines().count());
    }

    @Test
    void reportsInvalidConfigurationInOneLineWithFieldName() throws Exception {
        String valid = "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:9\","
                + "\"seed\":\"8c1f30d27a5be964\","
                + "\"peers\":[\"127.0.0.1:7\"],\"known\":"
                + SidecarFixture.endpointListJson(1, true, SidecarFixture.endpointJson("u", "127.0.0.1:8", "Ready", 7))
                + ",\"settings\":" + SidecarFixture.SETTINGS_JSON + ",\"new\":{\"x\":[1]}}";
        assertEquals(
                7000,
                SidecarFixture.parseConfiguration(valid)
                        .initialEndpoints()
                        .entries()
                        .get(0)
                        .endpoint()
                        .startedMicros());
        assertEquals(
                0x8c1f30d27a5be964L, SidecarFixture.parseConfiguration(valid).seed());
        assertConfigurationError("", "JSON");
        assertConfigurationError("[]", "JSON");
        assertConfigurationError("{\n\n", "JSON");
        assertConfigurationError(valid.replace("\"listen\"", "\"x\""), "'listen' is missing");
        assertConfigurationError(valid.replace("127.0.0.1:0", "localhost:0"), "listen");
        assertConfigurationError(valid.replace("127.0.0.1:9", "127.0.0.1:99999"), "discovery");
        assertConfigurationError(valid.replace("[\"127.0.0.1:7\"]", "7"), "peers");
        assertConfigurationError(valid.replace("127.0.0.1:7", "7"), "peers");
        assertConfigurationError(valid.replace("8c1f30d27a5be964", "seed!"), "seed");
        assertConfigurationError(valid.replace("\"Ready\"", "\"Odd\""), "known", "lifecycle");
        assertConfigurationError(valid.replace("\"balancers\":2,", ""), "settings", "balancers");
        assertConfigurationError(valid.replace("\"balancers\":2", "\"balancers\":\"few\""), "settings", "balancers");
        assertThrows(ConfigurationException.class, () -> SidecarConfigurationReader.read(Map.of()));
        assertThrows(
                ConfigurationException.class,
                () -> SidecarConfigurationReader.read(Map.of("BALANCER_CONFIG", "/nowhere/at/all")));
    }
}
