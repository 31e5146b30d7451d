package loadbalancer.proxy.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.proxy.discovery.WatchTimeouts;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.StubServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Clients use up the descriptors for client connections, and further clients wait in the backlog until one is free. The
 * other descriptors have to stay usable for discovery and upstream connections.
 */
@Timeout(60)
class DescriptorLimitTest {
    /** Descriptors for files, logs and class files, the listening sockets, and the connection to discovery. */
    private static final int RESERVED_DESCRIPTORS = 48;

    @ParameterizedTest
    @ValueSource(ints = {256, 1024})
    void keepsDescriptorsForDiscoveryUpstreamsAndActiveClients(int descriptorLimit) throws Exception {
        List<StubServer.Client> idleClients = new ArrayList<>();
        try (SidecarFixture fixture = new SidecarFixture((request, connection) -> {})) {
            fixture.descriptorLimit = descriptorLimit;
            // The list of discovery is the first one, however long the clients take.
            fixture.watchTimeouts = new WatchTimeouts(2_000, 500, 250, 3_600_000);
            fixture.addEndpoint(StubServer.respondingWith("served"));
            fixture.start();
            fixture.awaitEvent("list FAILED");
            try {
                for (int i = 0; i < descriptorLimit; i++) {
                    idleClients.add(fixture.client());
                }
                // This client waits in the backlog behind all idle clients. It is accepted because connections of
                // silent clients are closed after a while.
                try (StubServer.Client active = fixture.client()) {
                    active.send(SidecarFixture.idempotentRequest("active", 20_000));
                    assertEquals("served", active.readResponse().body());
                }
                assertConnectionsWithinLimit(fixture, descriptorLimit);
                fixture.discovery.handler = (request, connection) -> {
                    if (request.path().contains("index=41&")) {
                        connection.respond(
                                "200 OK",
                                "",
                                SidecarFixture.endpointListJson(
                                        42, false, SidecarFixture.endpointJson("u9", "127.0.0.1:9", "Ready", 0)));
                    }
                };
                fixture.awaitEvent("list FULL u0=READY,u9=READY");
                assertConnectionsWithinLimit(fixture, descriptorLimit);
            } finally {
                closeAll(idleClients);
            }
        }
    }

    private static void assertConnectionsWithinLimit(SidecarFixture fixture, int descriptorLimit) throws Exception {
        int openConnectionCount = fixture.sidecar.openConnectionCount();
        assertTrue(
                openConnectionCount <= descriptorLimit - RESERVED_DESCRIPTORS,
                openConnectionCount + " connections are open");
    }

    private static void closeAll(List<StubServer.Client> clients) throws Exception {
        for (StubServer.Client client : clients) {
            client.close();
        }
    }

    /** Starts a sidecar that allows 20 client connections, and leaves requests whose id begins with "held" open. */
    private static void startWithTwentyClientConnections(SidecarFixture fixture) throws Exception {
        // Allows 32 connections, of which 20 may be client connections.
        fixture.descriptorLimit = 80;
        fixture.onRequest = (nowMicros, request, actions) -> {
            if (!request.id().startsWith("held")) {
                actions.fail(request.id());
            }
        };
        fixture.start();
    }

    /**
     * At the maximum number of connections, the one that has been idle for the longest time is closed long before its
     * idle timeout. Otherwise a new client would have to wait for that.
     */
    @Test
    void evictsLongestIdleConnectionForNewClient() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            startWithTwentyClientConnections(fixture);
            List<StubServer.Client> clients = new ArrayList<>();
            try {
                for (String id : List.of("idle-first", "idle-second")) {
                    StubServer.Client idle = fixture.client().send(SidecarFixture.idempotentRequest(id, 50_000));
                    clients.add(idle);
                    assertEquals(502, idle.readStatus());
                }
                for (int i = 0; i < 17; i++) {
                    clients.add(fixture.client().send(SidecarFixture.idempotentRequest("held-" + i, 50_000)));
                    fixture.awaitEvent("request held-" + i);
                }
                long connectedNanos = System.nanoTime();
                clients.add(fixture.client().send(SidecarFixture.idempotentRequest("new", 50_000)));
                assertEquals(502, clients.get(19).readStatus());
                assertTrue(clients.get(0).isClosedBySidecar());
                long elapsedMillis = (System.nanoTime() - connectedNanos) / 1_000_000;
                assertTrue(elapsedMillis < 2_000, "evicted after " + elapsedMillis + " ms");
                // The other idle connection is still served.
                clients.get(1).send(SidecarFixture.idempotentRequest("again", 50_000));
                assertEquals(502, clients.get(1).readStatus());
            } finally {
                closeAll(clients);
            }
        }
    }

    /**
     * Clients that stop within a request must not keep out the others until their requests time out after 2 s. The
     * first one gets its error early and makes room.
     */
    @Test
    void rejectsLongestIncompleteRequestForNewClient() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            startWithTwentyClientConnections(fixture);
            List<StubServer.Client> stalledClients = new ArrayList<>();
            try {
                for (int i = 0; i < 20; i++) {
                    stalledClients.add(fixture.client().send("POST /api HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf"));
                    Thread.sleep(5);
                }
                long connectedNanos = System.nanoTime();
                try (StubServer.Client client =
                        fixture.client().send(SidecarFixture.idempotentRequest("new", 50_000))) {
                    assertEquals(502, client.readStatus());
                }
                long elapsedMillis = (System.nanoTime() - connectedNanos) / 1_000_000;
                assertTrue(elapsedMillis < 1_500, "admitted after " + elapsedMillis + " ms");
                assertEquals(503, stalledClients.get(0).readStatus());
            } finally {
                closeAll(stalledClients);
            }
        }
    }

    /**
     * Guards against silent and half-written connections of a crowd that keep new clients in the backlog until their
     * requests are lost: one that has 500 ms left must be answered at most 550 ms after that.
     */
    @Test
    void answersNewClientsBehindCrowdOfSilentClientsInTime() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            startWithTwentyClientConnections(fixture);
            List<StubServer.Client> crowd = new ArrayList<>();
            try {
                for (int i = 0; i < 120; i++) {
                    StubServer.Client client = fixture.client();
                    crowd.add(i % 2 == 0 ? client : client.send("POST /api HTTP/1.1\r\nHost: a\r\n"));
                }
                long sentNanos = System.nanoTime();
                try (StubServer.Client client = fixture.client().send(SidecarFixture.idempotentRequest("new", 500))) {
                    assertEquals(502, client.readStatus());
                }
                long elapsedMillis = (System.nanoTime() - sentNanos) / 1_000_000;
                assertTrue(elapsedMillis <= 1_050, "answered after " + elapsedMillis + " ms");
                assertTrue(
                        fixture.sidecar.openConnectionCount() <= 20,
                        fixture.sidecar.openConnectionCount() + " connections are open");
            } finally {
                closeAll(crowd);
            }
        }
    }

    /** A request that waits in the backlog while accepting is paused has less time left than its header states. */
    @Test
    void deductsTimeInBacklogFromRemainingTime() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            startWithTwentyClientConnections(fixture);
            List<StubServer.Client> busyClients = new ArrayList<>();
            try {
                for (int i = 0; i < 20; i++) {
                    busyClients.add(fixture.client().send(SidecarFixture.idempotentRequest("held-" + i, 50_000)));
                    fixture.awaitEvent("request held-" + i);
                }
                try (StubServer.Client waiting =
                        fixture.client().send(SidecarFixture.idempotentRequest("waiting", 10_000))) {
                    Thread.sleep(1_000);
                    busyClients.remove(0).close();
                    assertEquals(502, waiting.readStatus());
                    long remainingMicros = SidecarFixture.remainingMicros(fixture.awaitEvent("request waiting"));
                    assertTrue(
                            remainingMicros > 5_000_000 && remainingMicros < 9_100_000, "remaining " + remainingMicros);
                }
                // With a free descriptor and an empty backlog, nothing is deducted from the time of a later request.
                busyClients.remove(0).close();
                try (StubServer.Client later = fixture.client()) {
                    Thread.sleep(200);
                    later.send(SidecarFixture.idempotentRequest("later", 10_000));
                    assertEquals(502, later.readStatus());
                    assertTrue(SidecarFixture.remainingMicros(fixture.awaitEvent("request later")) > 9_900_000);
                }
            } finally {
                closeAll(busyClients);
            }
        }
    }
}
