package loadbalancer.proxy.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.StubServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A graceful shutdown answers every request that a client has sent. The last two tests verify which idle connections
 * the sidecar closes without a shutdown.
 */
@Timeout(60)
class GracefulShutdownTest {
    /** Echoes the request id; if the id has the prefix, only after the latch is released. */
    private static StubServer.RequestHandler echoingIdAndHolding(String prefix, CountDownLatch released) {
        return (request, connection) -> {
            if (request.header("X-Txn").startsWith(prefix)) {
                StubServer.awaitLatch(released);
            }
            connection.respond("200 OK", "", request.header("X-Txn"));
        };
    }

    private static void assertLastResponse(String body, StubServer.Message response) {
        assertEquals(body, response.body());
        assertEquals("close", response.header("Connection"));
    }

    /**
     * Requests that were read behind the one being answered must not be dropped with the first response of a shutdown.
     */
    @Test
    void answersPipelinedRequestsThatWereReadBeforeShutdown() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            CountDownLatch released = new CountDownLatch(1);
            fixture.addEndpoint(echoingIdAndHolding("held", released));
            fixture.start();
            CountDownLatch stopped = new CountDownLatch(1);
            try (StubServer.Client client = fixture.client()) {
                client.send(SidecarFixture.idempotentRequest("held", 30_000)
                        + SidecarFixture.idempotentRequest("second", 30_000)
                        + SidecarFixture.idempotentRequest("third", 30_000));
                fixture.awaitEvent("request held");
                fixture.sidecar.shutDownGracefully(stopped::countDown);
                released.countDown();
                assertEquals("held", client.readResponse().body());
                assertEquals("second", client.readResponse().body());
                assertLastResponse("third", client.readResponse());
                assertEquals(null, client.readResponse());
            }
            assertTrue(stopped.await(10, TimeUnit.SECONDS));
        }
    }

    @Test
    void servesNewConnectionsAndPartialRequestsDuringShutdown() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            CountDownLatch released = new CountDownLatch(1);
            fixture.addEndpoint(echoingIdAndHolding("held", released));
            fixture.start();
            CountDownLatch stopped = new CountDownLatch(1);
            try (StubServer.Client held = fixture.client();
                    StubServer.Client partial = fixture.client();
                    StubServer.Client idle = fixture.client()) {
                held.send(SidecarFixture.idempotentRequest("held", 30_000));
                fixture.awaitEvent("request held");
                idle.send(SidecarFixture.idempotentRequest("before", 30_000));
                assertEquals("before", idle.readResponse().body());
                String partialRequest = SidecarFixture.idempotentRequest("partial", 30_000);
                partial.send(partialRequest.substring(0, 30));
                fixture.sidecar.shutDownGracefully(stopped::countDown);
                try (StubServer.Client connectedLater = fixture.client()) {
                    connectedLater.send(SidecarFixture.idempotentRequest("later", 30_000));
                    assertLastResponse("later", connectedLater.readResponse());
                    assertEquals(null, connectedLater.readResponse());
                }
                // The idle connection is closed; until then it would be served.
                assertEquals(null, idle.readResponse());
                partial.send(partialRequest.substring(30));
                assertLastResponse("partial", partial.readResponse());
                assertEquals(1, stopped.getCount(), "the sidecar stopped with a request in flight");
                released.countDown();
                assertEquals("held", held.readResponse().body());
                assertEquals(null, held.readResponse());
                assertTrue(stopped.await(20, TimeUnit.SECONDS));
            }
        }
    }

    /**
     * If no descriptor is free, clients wait in the backlog, and closing the listener would reset their connections.
     * The test waits until idle connections are closed, because from then on the shutdown may close the listener too.
     */
    @Test
    void servesClientsThatWaitInBacklogForDescriptors() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        try (SidecarFixture fixture = new SidecarFixture()) {
            StubServer endpoint = fixture.addEndpoint(echoingIdAndHolding("held", released));
            // 48 descriptors are reserved. The other 32 are used by 15 requests, each with a client connection and an
            // upstream connection, and by 2 idle clients.
            fixture.descriptorLimit = 48 + 32;
            fixture.start();
            CountDownLatch stopped = new CountDownLatch(1);
            StubServer.Client[] held = new StubServer.Client[15];
            for (int i = 0; i < held.length; i++) {
                held[i] = fixture.client();
                held[i].send(SidecarFixture.idempotentRequest("held" + i, 30_000));
                endpoint.nextRequest();
            }
            try (StubServer.Client firstIdle = fixture.client();
                    StubServer.Client secondIdle = fixture.client()) {
                assertNotFound(firstIdle);
                assertNotFound(secondIdle);
                try (StubServer.Client waiting = fixture.client()) {
                    waiting.send(SidecarFixture.idempotentRequest("waiting", 30_000));
                    fixture.sidecar.shutDownGracefully(stopped::countDown);
                    assertTrue(firstIdle.isClosedBySidecar());
                    assertTrue(secondIdle.isClosedBySidecar());
                    assertEquals("waiting", waiting.readResponse().body());
                }
            }
            released.countDown();
            for (int i = 0; i < held.length; i++) {
                assertEquals("held" + i, held[i].readResponse().body());
                held[i].close();
            }
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
        }
    }

    private static void assertNotFound(StubServer.Client client) throws Exception {
        client.send("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n");
        assertEquals(404, client.readStatus());
    }

    /**
     * The platform kills the process 0.7 s plus the longest deadline of a request class after it requests the shutdown,
     * and counts at most 3 s of that deadline. A later response would not be sent.
     */
    @Test
    void limitsDeadlinesDuringShutdownToTimeBeforeProcessIsKilled() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.addEndpoint((request, connection) -> {});
            fixture.start();
            try (StubServer.Client client = fixture.client()) {
                client.send(SidecarFixture.idempotentRequest("before", 30_000));
                assertTrue(SidecarFixture.remainingMicros(fixture.awaitEvent("request before")) > 20_000_000);
                fixture.sidecar.shutDownGracefully(() -> {});
                try (StubServer.Client connectedLater = fixture.client()) {
                    connectedLater.send(SidecarFixture.idempotentRequest("later", 30_000));
                    assertTrue(SidecarFixture.remainingMicros(fixture.awaitEvent("request later")) <= 3_700_000);
                }
            }
        }
    }

    /**
     * A client that stops sending in the middle of a request must not delay the end of the shutdown for longer than a
     * client waits for a response.
     */
    @Test
    void completesShutdownDespiteSilentClient() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.start();
            CountDownLatch stopped = new CountDownLatch(1);
            try (StubServer.Client partial = fixture.client()) {
                partial.send("GET /api HTTP/1.1\r\nX-T");
                fixture.sidecar.shutDownGracefully(stopped::countDown);
                assertTrue(stopped.await(20, TimeUnit.SECONDS));
                assertEquals(408, partial.readStatus());
            }
        }
    }

    /**
     * If idle connections were not limited, an application that opens a connection for each request would use up the
     * descriptors for clients.
     */
    @Test
    void closesConnectionWithResponseBeyondIdleLimit() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.addEndpoint(StubServer.respondingWith("ok"));
            fixture.descriptorLimit = 120;
            fixture.start();
            StubServer.Client[] clients = new StubServer.Client[120 / 12 + 2];
            for (int i = 0; i < clients.length; i++) {
                clients[i] = fixture.client();
                clients[i].send(SidecarFixture.idempotentRequest("c" + i, 30_000));
                String connectionHeader = clients[i].readResponse().header("Connection");
                assertEquals(i < 120 / 12 ? null : "close", connectionHeader, "connection " + i);
            }
            assertTrue(clients[clients.length - 1].isClosedBySidecar());
            // A connection that is in use again or is closed does not count as idle.
            clients[0].send(SidecarFixture.idempotentRequest("again", 30_000));
            assertEquals(null, clients[0].readResponse().header("Connection"));
            closeAll(clients);
        }
    }

    private static void closeAll(StubServer.Client[] clients) throws Exception {
        for (StubServer.Client client : clients) {
            client.close();
        }
    }
}
