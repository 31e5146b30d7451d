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

/** The event loop is blocked for a while, with requests, deadlines and bytes waiting on real sockets. */
@Timeout(60)
class LateEventLoopTest {
    private static final long BLOCKED_MILLIS = 600;
    private static final long SHORT_DEADLINE_MILLIS = 300;
    private static final long LONG_DEADLINE_MILLIS = 20_000;
    /** The loop measures its lag by a periodic task, which was due within a tenth of a second. */
    private static final long MIN_MEASURED_LAG_MILLIS = BLOCKED_MILLIS - 200;

    @Test
    void overdueAnswersPrecedeNewRequestsAndRequestsThatWaitedTooLongAreRefused() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.upstream(StubServer.respondingWith("ok"));
            fixture.onRequest = (now, request, actions) -> {
                if (!request.id().startsWith("held")) {
                    actions.sendAttempt(request.id(), "u0", 0);
                }
            };
            fixture.start();
            try (StubServer.Client first = fixture.client();
                    StubServer.Client second = fixture.client();
                    StubServer.Client tooLate = fixture.client();
                    StubServer.Client inTime = fixture.client()) {
                first.send(SidecarFixture.get("held-1", SHORT_DEADLINE_MILLIS + 100));
                fixture.await("request held-1");
                second.send(SidecarFixture.get("held-2", SHORT_DEADLINE_MILLIS));
                fixture.await("request held-2");
                CountDownLatch unblocked = blockEventLoop(fixture);
                // Both wait in their sockets for as long as the loop is blocked.
                tooLate.send(SidecarFixture.get("short", SHORT_DEADLINE_MILLIS));
                inTime.send(SidecarFixture.get("long", LONG_DEADLINE_MILLIS));
                Thread.sleep(BLOCKED_MILLIS);
                unblocked.countDown();
                assertEquals(502, first.status());
                assertEquals(502, second.status());
                assertEquals(502, tooLate.status());
                assertEquals(200, inTime.status());
                assertEventsAfterBlocking(fixture);
            }
        }
    }

    private static void assertEventsAfterBlocking(SidecarFixture fixture) {
        List<String> events = new ArrayList<>();
        fixture.events.drainTo(events);
        int longRequest = indexOf(events, "request long ");
        assertTrue(indexOf(events, "expired held-2") < indexOf(events, "expired held-1"), events::toString);
        assertTrue(indexOf(events, "expired held-1") < longRequest, events::toString);
        assertFalse(events.stream().anyMatch(event -> event.startsWith("request short")), events::toString);
        long remainingMicros = SidecarFixture.remainingMicros(events.get(longRequest));
        assertTrue(remainingMicros <= (LONG_DEADLINE_MILLIS - MIN_MEASURED_LAG_MILLIS) * 1000, events::toString);
    }

    /** Returns when the event loop is blocked, until the latch is released. */
    private static CountDownLatch blockEventLoop(SidecarFixture fixture) throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch unblocked = new CountDownLatch(1);
        fixture.eventLoop.nettyEventLoop().execute(() -> {
            blocked.countDown();
            awaitUninterruptibly(unblocked);
        });
        blocked.await();
        return unblocked;
    }

    /** Answers are due earlier by the recent lag, but by a quarter of the remaining time at most. */
    @Test
    void answersAreDueEarlierAfterALag() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.onRequest = (now, request, actions) -> {};
            fixture.start();
            assertTrue(
                    remainingMicrosOf(fixture, "before", LONG_DEADLINE_MILLIS) > (LONG_DEADLINE_MILLIS - 100) * 1000);
            fixture.eventLoop
                    .nettyEventLoop()
                    .submit(() -> fixture.eventLoop.recordLag(1_000_000))
                    .sync();
            long afterLag = remainingMicrosOf(fixture, "after", LONG_DEADLINE_MILLIS);
            assertTrue(afterLag < (LONG_DEADLINE_MILLIS - 700) * 1000, "remaining " + afterLag);
            long shortDeadline = remainingMicrosOf(fixture, "quarter", 400);
            assertTrue(shortDeadline <= 300_000, "remaining " + shortDeadline);
        }
    }

    private static long remainingMicrosOf(SidecarFixture fixture, String requestId, long deadlineMillis)
            throws Exception {
        try (StubServer.Client client = fixture.client()) {
            client.send(SidecarFixture.get(requestId, deadlineMillis));
            return SidecarFixture.remainingMicros(fixture.await("request " + requestId));
        }
    }

    private static int indexOf(List<String> events, String prefix) {
        for (int i = 0; i < events.size(); i++) {
            if (events.get(i).startsWith(prefix)) {
                return i;
            }
        }
        throw new AssertionError("no event begins with '" + prefix + "': " + events);
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
