package loadbalancer.proxy.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.StubServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The event loop stands still for a while, with requests, deadlines and bytes waiting on real sockets. */
@Timeout(60)
class LateEventLoopTest {
    private static final long STANDSTILL_MS = 600;
    private static final long SHORT_MS = 300;
    private static final long LONG_MS = 20_000;
    /** The loop knows of its lateness by its tick, which was due within a tenth of a second. */
    private static final long LEAST_KNOWN_MS = STANDSTILL_MS - 200;

    @Test
    void whatIsOwedGoesOutBeforeWhatIsNewAndWhatWaitedTooLongIsAnsweredAtOnce() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.upstream((m, line) -> line.answer("200 OK", "", "ok"));
            fixture.onRequest = (now, r, out) -> {
                if (!r.id().startsWith("held")) {
                    out.sendAttempt(r.id(), "u0", 0);
                }
            };
            fixture.start();
            try (StubServer.Client first = fixture.client();
                    StubServer.Client second = fixture.client();
                    StubServer.Client tooLate = fixture.client();
                    StubServer.Client inTime = fixture.client()) {
                first.send(SidecarFixture.get("held-1", SHORT_MS + 100));
                fixture.await("request held-1");
                second.send(SidecarFixture.get("held-2", SHORT_MS));
                fixture.await("request held-2");
                CountDownLatch standing = new CountDownLatch(1);
                CountDownLatch goOn = new CountDownLatch(1);
                fixture.eventLoop.eventLoop().execute(() -> {
                    standing.countDown();
                    awaitUninterruptibly(goOn);
                });
                standing.await();
                // Both wait in their sockets for as long as the loop stands still.
                tooLate.send(SidecarFixture.get("short", SHORT_MS));
                inTime.send(SidecarFixture.get("long", LONG_MS));
                Thread.sleep(STANDSTILL_MS);
                goOn.countDown();
                assertEquals(502, first.status());
                assertEquals(502, second.status());
                assertEquals(502, tooLate.status());
                assertEquals(200, inTime.status());
                List<String> told = new ArrayList<>();
                fixture.events.drainTo(told);
                int began = indexOf(told, "request long ");
                assertTrue(indexOf(told, "expired held-2") < indexOf(told, "expired held-1"), told::toString);
                assertTrue(indexOf(told, "expired held-1") < began, told::toString);
                assertFalse(told.stream().anyMatch(line -> line.startsWith("request short")), told::toString);
                long leftUs = Long.parseLong(told.get(began).split(" ")[2]);
                assertTrue(leftUs <= (LONG_MS - LEAST_KNOWN_MS) * 1000, told::toString);
            }
        }
    }

    /** Where the loop was late by that much of late, answers leave so much earlier, up to a quarter of their time. */
    @Test
    void answersLeaveEarlierWhereTheLoopWasLate() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.onRequest = (now, r, out) -> {};
            fixture.start();
            try (StubServer.Client client = fixture.client()) {
                client.send(SidecarFixture.get("before", LONG_MS));
                assertTrue(leftUs(fixture.await("request before")) > (LONG_MS - 100) * 1000);
                fixture.eventLoop
                        .eventLoop()
                        .submit(() -> fixture.eventLoop.recordLag(1_000_000))
                        .sync();
            }
            try (StubServer.Client client = fixture.client()) {
                client.send(SidecarFixture.get("after", LONG_MS));
                long leftUs = leftUs(fixture.await("request after"));
                assertTrue(leftUs < (LONG_MS - 700) * 1000, "left " + leftUs);
            }
            try (StubServer.Client client = fixture.client()) {
                client.send(SidecarFixture.get("quarter", 400));
                long leftUs = leftUs(fixture.await("request quarter"));
                assertTrue(leftUs <= 300_000, "left " + leftUs);
            }
        }
    }

    private static long leftUs(String told) {
        return Long.parseLong(told.split(" ")[2]);
    }

    private static int indexOf(List<String> told, String start) {
        for (int i = 0; i < told.size(); i++) {
            if (told.get(i).startsWith(start)) {
                return i;
            }
        }
        throw new AssertionError("not told '" + start + "': " + told);
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
