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

/** The event loop is blocked for some time while deadlines pass and data waits in real sockets. */
@Timeout(60)
class LateEventLoopTest {
    private static final long BLOCKED_MILLIS = 600;
    private static final long SHORT_DEADLINE_MILLIS = 300;
    private static final long LONG_DEADLINE_MILLIS = 20_000;
    /** The lag is measured by a periodic task, which was due at most 100 ms after the loop was blocked. */
    private static final long MIN_MEASURED_LAG_MILLIS = BLOCKED_MILLIS - 200;

    @Test
    void answersOverdueRequestsFirstAndFailsRequestsThatWaitedTooLong() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.addEndpoint(StubServer.respondingWith("ok"));
            fixture.onRequest = (nowMicros, request, actions) -> {
                if (!request.id().startsWith("held")) {
                    actions.sendAttempt(request.id(), "u0", 0);
                }
            };
            fixture.start();
            try (StubServer.Client first = fixture.client();
                    StubServer.Client second = fixture.client();
                    StubServer.Client tooLate = fixture.client();
                    StubServer.Client inTime = fixture.client()) {
                first.send(SidecarFixture.idempotentRequest("held-1", SHORT_DEADLINE_MILLIS + 100));
                fixture.awaitEvent("request held-1");
                second.send(SidecarFixture.idempotentRequest("held-2", SHORT_DEADLINE_MILLIS));
                fixture.awaitEvent("request held-2");
                CountDownLatch unblocked = blockEventLoop(fixture);
                // Both requests wait in their sockets while the loop is blocked.
                tooLate.send(SidecarFixture.idempotentRequest("short", SHORT_DEADLINE_MILLIS));
                inTime.send(SidecarFixture.idempotentRequest("long", LONG_DEADLINE_MILLIS));
                Thread.sleep(BLOCKED_MILLIS);
                unblocked.countDown();
                assertEquals(502, first.readStatus());
                assertEquals(502, second.readStatus());
                assertEquals(502, tooLate.readStatus());
                assertEquals(200, inTime.readStatus());
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

    /** Blocks the event loop until the returned latch is released. Returns once the loop is blocked. */
    private static CountDownLatch blockEventLoop(SidecarFixture fixture) throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch unblocked = new CountDownLatch(1);
        fixture.eventLoop.nettyEventLoop().execute(() -> {
            blocked.countDown();
            awaitLatch(unblocked);
        });
        blocked.await();
        return unblocked;
    }

    /** Responses are due earlier by the recent lag, but by at most a quarter of the remaining time. */
    @Test
    void makesResponsesDueEarlierAfterLag() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.onRequest = (nowMicros, request, actions) -> {};
            fixture.start();
            assertTrue(
                    remainingMicrosOf(fixture, "before", LONG_DEADLINE_MILLIS) > (LONG_DEADLINE_MILLIS - 100) * 1000);
            fixture.eventLoop
                    .nettyEventLoop()
                    .submit(() -> fixture.eventLoop.recordLag(1_000_000))
                    .sync();
            long remainingAfterLag = remainingMicrosOf(fixture, "after", LONG_DEADLINE_MILLIS);
            assertTrue(remainingAfterLag < (LONG_DEADLINE_MILLIS - 700) * 1000, "remaining " + remainingAfterLag);
            long remainingOfShortDeadline = remainingMicrosOf(fixture, "quarter", 400);
            assertTrue(remainingOfShortDeadline <= 300_000, "remaining " + remainingOfShortDeadline);
        }
    }

    private static long remainingMicrosOf(SidecarFixture fixture, String requestId, long deadlineMillis)
            throws Exception {
        try (StubServer.Client client = fixture.client()) {
            client.send(SidecarFixture.idempotentRequest(requestId, deadlineMillis));
            return SidecarFixture.remainingMicros(fixture.awaitEvent("request " + requestId));
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

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
