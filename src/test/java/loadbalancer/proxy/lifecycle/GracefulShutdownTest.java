package loadbalancer.proxy.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.StubServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A planned stop loses nothing that a client has sent. */
@Timeout(60)
class GracefulShutdownTest {
    @Test
    void newConnectionsAndHalfReadRequestsAreServedAfterTheStopWasAskedFor() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            CountDownLatch answer = new CountDownLatch(1);
            fixture.upstream((m, line) -> {
                if (m.header("X-Txn").equals("held")) {
                    try {
                        answer.await();
                    } catch (InterruptedException e) {
                        throw new java.io.InterruptedIOException();
                    }
                }
                line.answer("200 OK", "", m.header("X-Txn"));
            });
            fixture.start();
            CountDownLatch stopped = new CountDownLatch(1);
            try (StubServer.Client held = fixture.client();
                    StubServer.Client half = fixture.client();
                    StubServer.Client idle = fixture.client()) {
                held.send(SidecarFixture.get("held", 30_000));
                fixture.await("request held");
                idle.send(SidecarFixture.get("before", 30_000));
                assertEquals("before", idle.answer().body());
                String text = SidecarFixture.get("half", 30_000);
                half.send(text.substring(0, 30));
                fixture.sidecar.shutDownGracefully(stopped::countDown);
                try (StubServer.Client fresh = fixture.client()) {
                    fresh.send(SidecarFixture.get("fresh", 30_000));
                    StubServer.Message m = fresh.answer();
                    assertEquals("fresh", m.body());
                    assertEquals("close", m.header("Connection"));
                    assertEquals(null, fresh.answer());
                }
                // An idle connection is closed; until then it is served.
                assertEquals(null, idle.answer());
                half.send(text.substring(30));
                StubServer.Message late = half.answer();
                assertEquals("half", late.body());
                assertEquals("close", late.header("Connection"));
                assertEquals(1, stopped.getCount(), "it stopped with a request held");
                answer.countDown();
                assertEquals("held", held.answer().body());
                assertEquals(null, held.answer());
                assertTrue(stopped.await(20, TimeUnit.SECONDS));
            }
        }
    }

    /**
     * While descriptors are wanting, clients wait in the backlog, where closing the listener would reset them: their
     * requests are taken all the same. The idle connections' end shows that the time to close it has come.
     */
    @Test
    void whatWaitsInTheBacklogForDescriptorsIsServedBeforeTheEnd() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (SidecarFixture fixture = new SidecarFixture()) {
            StubServer up = fixture.upstream((m, line) -> {
                if (m.header("X-Txn").startsWith("held")) {
                    try {
                        answer.await();
                    } catch (InterruptedException e) {
                        throw new java.io.InterruptedIOException();
                    }
                }
                line.answer("200 OK", "", m.header("X-Txn"));
            });
            // 48 for the program itself: 15 with a request on a connection of its own, and 2 idle clients, fill the
            // rest.
            fixture.descriptorLimit = 48 + 32;
            fixture.start();
            CountDownLatch stopped = new CountDownLatch(1);
            StubServer.Client[] held = new StubServer.Client[15];
            for (int i = 0; i < held.length; i++) {
                held[i] = fixture.client();
                held[i].send(SidecarFixture.get("held" + i, 30_000));
                up.next();
            }
            try (StubServer.Client idle = fixture.client();
                    StubServer.Client other = fixture.client()) {
                for (StubServer.Client c : new StubServer.Client[] {idle, other}) {
                    assertEquals(
                            404,
                            c.send("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n").status());
                }
                try (StubServer.Client late = fixture.client()) {
                    late.send(SidecarFixture.get("late", 30_000));
                    fixture.sidecar.shutDownGracefully(stopped::countDown);
                    assertTrue(idle.ended());
                    assertTrue(other.ended());
                    assertEquals("late", late.answer().body());
                }
            }
            answer.countDown();
            for (int i = 0; i < held.length; i++) {
                assertEquals("held" + i, held[i].answer().body());
                held[i].close();
            }
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
        }
    }

    /** The kill comes a while after the longest deadline: later than it, an answer is for nobody. */
    @Test
    void whatComesDuringTheStopIsAnsweredBeforeTheKill() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.upstream((m, line) -> {});
            fixture.start();
            try (StubServer.Client client = fixture.client()) {
                client.send(SidecarFixture.get("before", 30_000));
                assertTrue(remainingUs(fixture.await("request before")) > 20_000_000);
                fixture.sidecar.shutDownGracefully(() -> {});
                try (StubServer.Client late = fixture.client()) {
                    late.send(SidecarFixture.get("late", 30_000));
                    assertTrue(remainingUs(fixture.await("request late")) <= 3_700_000);
                }
            }
        }
    }

    private static long remainingUs(String told) {
        return Long.parseLong(told.substring(told.lastIndexOf(' ') + 1));
    }

    /** Half a request whose client has fallen silent holds up the stop no longer than a client would wait. */
    @Test
    void aClientThatFellSilentDoesNotKeepTheSidecarFromEnding() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.start();
            CountDownLatch stopped = new CountDownLatch(1);
            try (StubServer.Client half = fixture.client()) {
                half.send("GET /api HTTP/1.1\r\nX-T");
                fixture.sidecar.shutDownGracefully(stopped::countDown);
                assertTrue(stopped.await(20, TimeUnit.SECONDS));
                assertEquals(408, half.status());
            }
        }
    }

    /** An application that opens a connection for each request would else use up its part of the descriptors. */
    @Test
    void beyondTheSpareConnectionsAnAnswerClosesItsOwn() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.upstream((m, line) -> line.answer("200 OK", "", "ok"));
            fixture.descriptorLimit = 120;
            fixture.start();
            StubServer.Client[] clients = new StubServer.Client[120 / 12 + 2];
            for (int i = 0; i < clients.length; i++) {
                clients[i] = fixture.client();
                clients[i].send(SidecarFixture.get("c" + i, 30_000));
                String says = clients[i].answer().header("Connection");
                assertEquals(i < 120 / 12 ? null : "close", says, "connection " + i);
            }
            assertTrue(clients[clients.length - 1].ended());
            // One that is used again, or is closed, makes its place free.
            clients[0].send(SidecarFixture.get("again", 30_000));
            assertEquals(null, clients[0].answer().header("Connection"));
            for (StubServer.Client c : clients) {
                c.close();
            }
        }
    }

    /** Beyond the cap an idle connection makes room; otherwise new ones would wait for ever. */
    @Test
    void idleClientsMakeRoomForNewOnes() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.upstream((m, line) -> line.answer("200 OK", "", "ok"));
            fixture.descriptorLimit = 64 + 2 * 16;
            fixture.start();
            StubServer.Client[] clients = new StubServer.Client[40];
            for (int i = 0; i < clients.length; i++) {
                clients[i] = fixture.client();
                clients[i].send(SidecarFixture.get("c" + i, 30_000));
                assertEquals(200, clients[i].status());
            }
            assertEquals(null, clients[0].answer());
            for (StubServer.Client c : clients) {
                c.close();
            }
        }
    }
}
