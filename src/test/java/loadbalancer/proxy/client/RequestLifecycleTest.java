package loadbalancer.proxy.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import loadbalancer.decision.AttemptOutcome;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.StubServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Every request taken gets one final answer, whatever the module does. */
@Timeout(60)
class RequestLifecycleTest {
    @Test
    void aRefusalIsSaidAtOnceWithTheTimeToComeBack() throws Exception {
        try (SidecarFixture rig = new SidecarFixture()) {
            rig.onRequest = (now, r, out) -> {
                out.reject(r.id(), 165_000);
                out.fail(r.id());
                out.reject(r.id(), 0);
            };
            rig.start();
            try (StubServer.Client client = rig.client()) {
                client.send(SidecarFixture.get("a1", 20_000));
                StubServer.Message answer = client.answer();
                assertTrue(answer.head().startsWith("HTTP/1.1 503 "), answer.head());
                assertEquals("0.165", answer.header("Retry-After"));
                // The next answer belongs to the next request: nothing more came about the first.
                client.send("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n");
                assertEquals(404, client.status());
            }
        }
    }

    /** The module may fail to answer; the client's time must not run out over it. */
    @Test
    void aRequestThatTheModuleHoldsIsAnsweredBeforeItsTimeIsUp() throws Exception {
        try (SidecarFixture rig = new SidecarFixture()) {
            rig.onRequest = (now, r, out) -> {};
            rig.start();
            try (StubServer.Client client = rig.client()) {
                client.send(SidecarFixture.get("a1", 300));
                assertEquals(502, client.status());
                assertEquals("expired a1", rig.await("expired"));
            }
        }
    }

    @Test
    void attemptsAreGivenUpAtTheDeadlineAndTheModuleAnswers() throws Exception {
        try (SidecarFixture rig = new SidecarFixture()) {
            rig.upstream((m, line) -> {});
            rig.onRequest = (now, r, out) -> out.sendAttempt(r.id(), "u0", now + 60_000_000);
            rig.start();
            try (StubServer.Client client = rig.client()) {
                client.send(SidecarFixture.get("a1", 300));
                assertEquals(502, client.status());
                assertEquals("outcome a1 0 TIMEOUT false -", rig.await("outcome"));
            }
        }
    }

    /** A fault in the module ends neither the program nor the request that met it. */
    @Test
    void anExceptionInTheModuleAnswersWhatItMet() throws Exception {
        try (SidecarFixture rig = new SidecarFixture()) {
            rig.upstream((m, line) -> line.answer("500 No", "", ""));
            rig.onRequest = (now, r, out) -> {
                throw new IllegalStateException("as the test wants");
            };
            rig.start();
            try (StubServer.Client client = rig.client()) {
                client.send(SidecarFixture.get("a1", 20_000));
                assertEquals(502, client.status());
                rig.onRequest = (now, r, out) -> out.sendAttempt(r.id(), "u0", 0);
                rig.onOutcome = (id, outcome, done, out) -> {
                    throw new IllegalStateException("as the test wants");
                };
                client.send(SidecarFixture.get("a2", 20_000));
                assertEquals(502, client.status());
                rig.onRequest = (now, r, out) -> out.startTimer("break", 1);
                client.send(SidecarFixture.get("a3", 20_000));
                assertEquals(502, client.status());
            }
        }
    }

    @Test
    void aClientThatLeavesEndsItsRequestAndNoOther() throws Exception {
        try (SidecarFixture rig = new SidecarFixture()) {
            rig.upstream((m, line) -> {});
            rig.start();
            try (StubServer.Client client = rig.client()) {
                client.send(SidecarFixture.get("a1", 20_000));
                rig.await("request");
            }
            assertEquals("expired a1", rig.await("expired"));
            rig.onRequest = (now, r, out) -> out.fail(r.id());
            try (StubServer.Client client = rig.client()) {
                client.send(SidecarFixture.get("a2", 20_000));
                assertEquals(502, client.status());
            }
        }
    }

    /** Who ends its sending has gone away, as who closes does: nothing tells the two apart in time. */
    @Test
    void aClientThatEndsItsSendingHasLeft() throws Exception {
        try (SidecarFixture rig = new SidecarFixture()) {
            rig.upstream((m, line) -> {});
            rig.start();
            try (StubServer.Client client = rig.client()) {
                client.send(SidecarFixture.get("a1", 20_000));
                rig.await("request");
                client.socket.shutdownOutput();
                assertEquals("expired a1", rig.await("expired"));
                assertTrue(client.ended());
            }
        }
    }

    /** A second copy's answer, or one after the final answer, must not reach the client. */
    @Test
    void theFirstAnswerCountsAndALaterOneIsOnlyTold() throws Exception {
        try (SidecarFixture rig = new SidecarFixture()) {
            Object[] held = new Object[1];
            rig.upstream((m, line) -> {
                synchronized (held) {
                    held[0] = line;
                }
            });
            rig.upstream((m, line) -> line.answer("200 OK", "", "second"));
            rig.onRequest = (now, r, out) -> out.sendAttempt(r.id(), "u0", 0);
            rig.onOutcome = (id, outcome, done, out) -> {};
            rig.start();
            try (StubServer.Client client = rig.client()) {
                client.send(SidecarFixture.get("a1", 20_000));
                rig.endpointServers.get(0).next();
                rig.onRequest = (now, r, out) -> {
                    out.sendAttempt("a1", "u1", 0);
                    out.fail(r.id());
                };
                try (StubServer.Client other = rig.client()) {
                    other.send(SidecarFixture.get("a2", 20_000));
                    assertEquals(502, other.status());
                }
                assertEquals("second", client.answer().body());
                assertEquals("outcome a1 1 OK true -", rig.await("outcome"));
                synchronized (held) {
                    ((StubServer.Connection) held[0]).answer("200 OK", "", "first");
                }
                assertEquals("outcome a1 0 OK true -", rig.await("outcome"));
                client.send("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n");
                assertEquals(404, client.status());
            }
        }
    }

    @Test
    void attemptsBeyondWhatIsAllowedAreNotSent() throws Exception {
        try (SidecarFixture rig = new SidecarFixture()) {
            StubServer up = rig.upstream((m, line) -> line.answer("500 No", "", ""));
            rig.onOutcome = (id, outcome, done, out) -> {
                if (outcome == AttemptOutcome.NOT_SENT) {
                    out.fail(id);
                } else {
                    out.sendAttempt(id, "u0", 0);
                }
            };
            rig.start();
            try (StubServer.Client client = rig.client()) {
                client.send(SidecarFixture.get("a1", 20_000));
                assertEquals(502, client.status());
                assertEquals(4, up.messages.size());
            }
        }
    }

    @Test
    void requestsSentAheadAreAnsweredInTheirTurn() throws Exception {
        try (SidecarFixture rig = new SidecarFixture()) {
            rig.upstream((m, line) -> line.answer("200 OK", "", m.header("X-Txn")));
            rig.start();
            try (StubServer.Client client = rig.client()) {
                StringBuilder all = new StringBuilder();
                for (int i = 0; i < 40; i++) {
                    all.append(SidecarFixture.get("p" + i, 20_000));
                }
                client.send(all.toString());
                for (int i = 0; i < 40; i++) {
                    assertEquals("p" + i, client.answer().body());
                }
            }
        }
    }

    private static String ahead(int count) {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < count; i++) {
            all.append(SidecarFixture.get("p" + i, 20_000));
        }
        return all.toString();
    }

    /** However much stands before it, the end of the connection is seen, and what was sent ahead goes nowhere. */
    @Test
    void whoSendsMuchAtOnceAndGoesIsSeenToLeave() throws Exception {
        for (int count : new int[] {2, 20, 2_000}) {
            try (SidecarFixture rig = new SidecarFixture()) {
                rig.upstream((m, line) -> {});
                rig.start();
                rig.await("list DELTA");
                try (StubServer.Client client = rig.client()) {
                    client.send(ahead(count));
                }
                assertEquals("expired p0", rig.await("expired"));
                try (StubServer.Client other = rig.client()) {
                    other.send(SidecarFixture.get("other", 20_000));
                    // Nothing else was taken in between, and the other's request comes after all that was sent.
                    assertTrue(rig.events.take().startsWith("request other "));
                }
            }
        }
    }

    /** What one connection may hold is bounded: who sends more ahead gets the answers so far, a refusal and an end. */
    @Test
    void whatIsSentAheadIsBounded() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (SidecarFixture rig = new SidecarFixture()) {
            rig.upstream((m, line) -> {
                try {
                    answer.await();
                } catch (InterruptedException e) {
                    throw new java.io.InterruptedIOException();
                }
                line.answer("200 OK", "", m.header("X-Txn"));
            });
            rig.start();
            try (StubServer.Client client = rig.client()) {
                client.send(ahead(2_000));
                rig.await("request p0");
                answer.countDown();
                int served = 0;
                StubServer.Message m;
                while ((m = client.answer()).head().startsWith("HTTP/1.1 200 ")) {
                    assertEquals("p" + served++, m.body());
                }
                assertTrue(m.head().startsWith("HTTP/1.1 503 "), m.head());
                assertTrue(served > 40 && served < 2_000, served + " were served");
                assertTrue(client.ended());
            }
        }
    }

    /** A busy sidecar needs a connection for each request, and one for each idle upstream that it will use again. */
    @Test
    void whatClientsLeaveOfTheDescriptorsIsForUpstreams() throws Exception {
        try (SidecarFixture rig = new SidecarFixture()) {
            StubServer silent = rig.upstream((m, line) -> {});
            // 48 for the program itself, and as many clients as may have requests: a third.
            rig.descriptorLimit = 192;
            rig.start();
            StubServer.Client[] clients = new StubServer.Client[192 / 3];
            for (int i = 0; i < clients.length; i++) {
                clients[i] = rig.client();
                clients[i].send(SidecarFixture.get("c" + i, 30_000));
            }
            for (int i = 0; i < clients.length; i++) {
                silent.next();
            }
            for (StubServer.Client c : clients) {
                c.close();
            }
        }
    }

    /** PROTOCOL, Figures: time for a request counts from its last byte, however slowly its client wrote it. */
    @Test
    void theTimeOfARequestCountsFromItsLastByte() throws Exception {
        try (SidecarFixture rig = new SidecarFixture()) {
            rig.onRequest = (now, r, out) -> out.fail(r.id());
            rig.start();
            try (StubServer.Client client = rig.client()) {
                String text = SidecarFixture.get("slow", 200);
                client.send(text.substring(0, text.length() / 2));
                Thread.sleep(250);
                client.send(text.substring(text.length() / 2));
                assertEquals(502, client.status());
                long leftUs = Long.parseLong(rig.await("request slow ").split(" ")[2]);
                assertTrue(leftUs > 100_000, "its client still waits for 200 ms, told were " + leftUs + " us");
            }
        }
    }
}
