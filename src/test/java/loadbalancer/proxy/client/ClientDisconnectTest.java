package loadbalancer.proxy.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
 * A loop that is late finds a client's request, its leaving and what else came all together. Whatever it reads first,
 * no attempt begins for who has left. The loop is held here by the module, on a request whose id says so.
 */
@Timeout(60)
class ClientDisconnectTest {
    /** The order in which ready sockets are read is not ours to choose: each crossing is played several times. */
    private static final int ROUNDS = 6;

    private final Semaphore held = new Semaphore(0);
    private final Semaphore goOn = new Semaphore(0);
    private SidecarFixture rig;

    @BeforeEach
    void start() throws Exception {
        rig = new SidecarFixture();
        rig.upstream((m, line) -> line.answer("200 OK", "", m.header("X-Txn")));
        rig.onRequest = (now, r, out) -> {
            if (r.id().startsWith("hold")) {
                held.release();
                goOn.acquireUninterruptibly();
                out.fail(r.id());
            } else {
                out.sendAttempt(r.id(), "u0", 0);
            }
        };
    }

    @AfterEach
    void end() throws Exception {
        rig.close();
    }

    private void hold(StubServer.Client by, int round) throws Exception {
        by.send(SidecarFixture.get("hold" + round, 20_000));
        held.acquire();
    }

    /** The clients have left by now; their leaving has to be older than what may go unseen. */
    private void letGo(StubServer.Client held) throws Exception {
        Thread.sleep(2 * ReadTrackingEventLoop.MAX_READ_AGE_MICROS / 1000);
        goOn.release();
        assertEquals(502, held.status());
    }

    private static void leave(StubServer.Client client, boolean reset) throws Exception {
        if (reset) {
            client.socket.setSoLinger(true, 0);
        }
        client.close();
    }

    @Test
    void nothingBeginsForARequestThatWaitedTogetherWithItsClientsEnd() throws Exception {
        rig.start();
        try (StubServer.Client holder = rig.client()) {
            for (int i = 0; i < ROUNDS; i++) {
                StubServer.Client known = rig.client();
                known.send(SidecarFixture.get("first" + i, 20_000));
                assertEquals(200, known.status());
                hold(holder, i);
                known.send(SidecarFixture.get("gone" + i, 20_000));
                leave(known, false);
                // Not accepted yet: it waits in the backlog with all it had to say.
                StubServer.Client fresh = rig.client();
                fresh.send(SidecarFixture.get("new" + i, 20_000));
                leave(fresh, false);
                letGo(holder);
                assertNeverSent("gone" + i);
                assertNeverSent("new" + i);
            }
        }
    }

    /** Either it is withdrawn or it was never begun: with an answer it had been sent on. */
    private void assertNeverSent(String id) throws Exception {
        assertEquals("outcome " + id + " 0 NOT_SENT true -", rig.await("outcome " + id + " 0"));
    }

    /** A listener whose backlog is full lets nobody in: the connection comes up when the test accepts the others. */
    @Test
    void nothingBeginsOnAConnectionThatComesUpAsItsClientLeaves() throws Exception {
        try (ServerSocket late = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            rig.discovery.script = (m, line) -> {
                if (m.path().contains("index=41&")) {
                    line.answer(
                            "200 OK",
                            "",
                            SidecarFixture.list(
                                    42,
                                    false,
                                    SidecarFixture.entry("late", "127.0.0.1:" + late.getLocalPort(), "Ready", 0)));
                }
            };
            SidecarFixture.RequestHandler usual = rig.onRequest;
            rig.onRequest = (now, r, out) -> {
                if (r.id().startsWith("gone")) {
                    out.sendAttempt(r.id(), "late", 0);
                } else {
                    usual.handle(now, r, out);
                }
            };
            rig.start();
            rig.await("list DELTA late=READY");
            try (StubServer.Client holder = rig.client()) {
                for (int i = 0; i < 3; i++) {
                    List<Socket> fillers = List.of(
                            new Socket(late.getInetAddress(), late.getLocalPort()),
                            new Socket(late.getInetAddress(), late.getLocalPort()));
                    StubServer.Client client = rig.client();
                    client.send(SidecarFixture.get("gone" + i, 20_000));
                    rig.await("request gone" + i);
                    // Answered behind the request's turn: by then its connection has been asked for.
                    holder.send("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n");
                    assertEquals(404, holder.status());
                    hold(holder, i);
                    leave(client, i % 2 > 0);
                    for (Socket filler : fillers) {
                        late.accept().close();
                        filler.close();
                    }
                    try (Socket dialled = late.accept()) {
                        letGo(holder);
                        assertNeverSent("gone" + i);
                        assertEquals(-1, dialled.getInputStream().read(), "sent on for who had left");
                    }
                }
            }
        }
    }

    private void awaitAtUpstream(String id) throws InterruptedException {
        while (!rig.endpointServers.get(0).next().header("X-Txn").equals(id)) {
            // the others of rounds before
        }
    }

    @Test
    void noFurtherAttemptBeginsWhereAFailureAndItsClientsEndComeTogether() throws Exception {
        Semaphore fail = new Semaphore(0);
        Semaphore failed = new Semaphore(0);
        rig.endpointServers.get(0).script = (m, line) -> {
            if (m.header("X-Txn").startsWith("gone")) {
                fail.acquireUninterruptibly();
                line.answer("500 No", "", "");
                failed.release();
            } else {
                line.answer("200 OK", "", "");
            }
        };
        rig.upstream((m, line) -> line.answer("200 OK", "", ""));
        SidecarFixture.RequestHandler usual = rig.onRequest;
        rig.onRequest = (now, r, out) -> {
            if (r.id().startsWith("warm")) {
                out.sendAttempt(r.id(), "u1", 0);
            } else if (r.id().startsWith("rest")) {
                out.startTimer("rested", 2 * UpstreamConnectionPool.REUSE_DELAY_MICROS);
                out.fail(r.id());
            } else {
                usual.handle(now, r, out);
            }
        };
        rig.onOutcome = (id, outcome, done, out) -> {
            if (!done) {
                out.sendAttempt(id, "u1", 0);
            }
        };
        rig.start();
        try (StubServer.Client holder = rig.client()) {
            for (int i = 0; i < ROUNDS; i++) {
                // The further attempt finds a connection that it could be written to at once.
                assertEquals(
                        200, holder.send(SidecarFixture.get("warm" + i, 20_000)).status());
                assertEquals(
                        502, holder.send(SidecarFixture.get("rest" + i, 20_000)).status());
                rig.await("timer rested");
                StubServer.Client client = rig.client();
                client.send(SidecarFixture.get("gone" + i, 20_000));
                awaitAtUpstream("gone" + i);
                hold(holder, i);
                fail.release();
                failed.acquire();
                leave(client, i % 2 > 0);
                letGo(holder);
                rig.await("expired gone" + i);
            }
        }
        for (StubServer.Message m; (m = rig.endpointServers.get(1).messages.poll()) != null; ) {
            assertTrue(m.header("X-Txn").startsWith("warm"), "sent on for who had left");
        }
    }
}
