package loadbalancer.proxy.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.StubServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class DiscoveryWatchTest {
    private static final String UP = SidecarFixture.entry("u0", "127.0.0.1:9", "Ready", 0);
    private static final String DRAINS = UP.replace("Ready", "Terminating");
    /** Waits, and pauses after a second failure, for longer than a test does. */
    private static final WatchTimeouts PATIENT = new WatchTimeouts(3_600_000, 0, 3_600_000);

    private static final long HOUR_US = 3_600_000_000L;

    private static SidecarFixture pushed(WatchTimeouts patience, StubServer.Script script) throws Exception {
        SidecarFixture rig = new SidecarFixture(script);
        rig.settings = rig.settings.replace("on_request", "pushed");
        rig.pollsEndpoints = false;
        rig.watchTimeouts = patience;
        rig.backoff = new ExponentialBackoff(HOUR_US, HOUR_US, bound -> 0);
        rig.upstream((m, line) -> {});
        return rig.start();
    }

    @Test
    void theWatchGoesOnFromEachVersion() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (SidecarFixture rig = new SidecarFixture((m, line) -> {
            switch (calls.incrementAndGet()) {
                case 1 -> line.answer("200 OK", "", SidecarFixture.list(41, false));
                case 2 -> line.answer("200 OK", "", SidecarFixture.list(42, false, UP.replace("Ready", "Terminating")));
                case 3 -> line.answer("200 OK", "Connection: close\r\n", SidecarFixture.list(44, true, UP));
                default -> {}
            }
        })) {
            rig.upstream((m, line) -> {});
            rig.start();
            assertEquals("list CACHED u0=READY", rig.await("list"));
            // The first answer tells the module that it is subscribed, even without a change.
            assertEquals("list DELTA ", rig.await("list"));
            assertEquals("list DELTA u0=DRAINING", rig.await("list"));
            assertEquals("list FULL u0=READY", rig.await("list"));
            for (int index : new int[] {41, 41, 42, 44}) {
                String path = rig.discovery.next().path();
                assertTrue(path.startsWith("/registry/instances?index=" + index + "&wait="), path);
            }
        }
    }

    /** A bad answer is a failed call; taken for an empty list it would end all service. */
    @Test
    void aBadAnswerIsAFailedCallAndThenTheWholeListIsAskedFor() throws Exception {
        String[] bad = {
            "no json",
            "",
            "{}",
            "[]",
            "null",
            "{\"generation\":50,\"reset\":true,\"instances\":[]}",
            "{\"generation\":50,\"reset\":true}",
            SidecarFixture.list(40, false, UP),
            SidecarFixture.list(50, false, UP.replace("Ready", "?")),
            SidecarFixture.list(50, true, UP.replace("127.0.0.1:9", "nowhere")),
            "{\"generation\":50,\"reset\":true,\"instances\":[7]}"
        };
        for (String answer : bad) {
            AtomicInteger calls = new AtomicInteger();
            try (SidecarFixture rig = new SidecarFixture((m, line) -> {
                switch (calls.incrementAndGet()) {
                    case 1 -> line.answer("200 OK", "", answer);
                    case 2 -> line.answer("200 OK", "", SidecarFixture.list(60, true, UP));
                    default -> {}
                }
            })) {
                rig.upstream((m, line) -> {});
                rig.start();
                rig.await("list CACHED");
                assertEquals("list FAILED ", rig.await("list"), answer);
                assertEquals("list FULL u0=READY", rig.await("list"));
                rig.discovery.next();
                assertEquals("/registry/instances", rig.discovery.next().path(), answer);
                assertTrue(rig.discovery.next().path().contains("?index=60&wait="));
            }
        }
    }

    @Test
    void callsThatFailAreToldAndTheVersionIsKept() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (SidecarFixture rig = new SidecarFixture((m, line) -> {
            switch (calls.incrementAndGet()) {
                case 1 -> line.answer("503 Down", "", "");
                case 2 -> line.reset();
                case 3 -> line.write("HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n");
                case 4 -> line.answer("200 OK", "", SidecarFixture.list(43, false, UP));
                default -> {}
            }
        })) {
            rig.upstream((m, line) -> {});
            rig.start();
            rig.await("list CACHED");
            for (int i = 0; i < 3; i++) {
                assertEquals("list FAILED ", rig.await("list"));
                assertTrue(rig.discovery.next().path().contains("?index=41&wait="));
            }
            assertEquals("list DELTA u0=READY", rig.await("list"));
        }
    }

    /** Where lists are pushed the module never asks: the sidecar keeps its watch by itself, also after failures. */
    @Test
    void pushedListsAreWatchedWithoutBeingAskedFor() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (SidecarFixture rig = new SidecarFixture((m, line) -> {
            switch (calls.incrementAndGet()) {
                case 1 -> line.answer("200 OK", "", SidecarFixture.list(41, false));
                case 2 -> line.answer("503 Down", "", "");
                case 3 -> line.answer("200 OK", "", SidecarFixture.list(42, false, UP));
                default -> {}
            }
        })) {
            rig.settings = rig.settings.replace("on_request", "pushed");
            rig.pollsEndpoints = false;
            rig.upstream((m, line) -> {});
            rig.start();
            rig.await("list CACHED");
            assertEquals("list DELTA u0=READY", rig.await("list"), "told of a call it has not made, or of no change");
        }
    }

    /**
     * After a new configuration the old service may fall silent or reset what is open: the whole list comes from the
     * new one at once, the old call is no failure that the module would wait after, and its late answer is nobody's.
     */
    @Test
    void anotherServiceIsAskedForTheWholeListAtOnce() throws Exception {
        try (StubServer next = new StubServer((m, line) -> {
                    if (m.path().equals("/registry/instances")) {
                        line.answer("200 OK", "", SidecarFixture.list(3, true, UP));
                    }
                });
                SidecarFixture rig = new SidecarFixture((m, line) -> {})) {
            rig.upstream((m, line) -> {});
            rig.watchTimeouts = PATIENT;
            rig.start();
            rig.await("list CACHED");
            assertTrue(rig.discovery.next().path().contains("?index=41&wait="));
            rig.reload(next.address());
            assertEquals("list FULL u0=READY", rig.events.poll(20, TimeUnit.SECONDS));
            assertEquals("/registry/instances", next.next().path());
            assertTrue(next.next().path().contains("?index=3&wait="));
            assertEquals(-1, rig.discovery.accepted.take().getInputStream().read(), "the old connection was left open");
        }
    }

    /** What the agent has counts as told, also while no watch is open: one that breaks is opened anew at once. */
    @Test
    void aWatchThatBreaksIsOpenedAnewAtOnce() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (SidecarFixture rig = pushed(PATIENT, (m, line) -> {
            switch (calls.incrementAndGet()) {
                case 1, 6 -> line.answer(
                        "200 OK", "", SidecarFixture.list(m.path().contains("=41&") ? 41 : 42, false));
                case 2 -> line.reset();
                case 3 -> line.answer("200 OK", "", SidecarFixture.list(42, false, DRAINS));
                case 4 -> line.socket().close();
                case 5 -> line.answer("200 OK", "", SidecarFixture.list(43, false, UP));
                default -> {}
            }
        })) {
            rig.await("list CACHED");
            assertEquals("list DELTA u0=DRAINING", rig.await("list"));
            assertEquals("list DELTA u0=READY", rig.await("list"), "a later break is not a first one");
        }
    }

    /** A watch that has fallen silent never speaks again; what it misses counts as told before long. */
    @Test
    void aWatchThatFallsSilentIsOpenedAnewAtOnce() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (SidecarFixture rig = pushed(new WatchTimeouts(1, 100, 3_600_000), (m, line) -> {
            switch (calls.incrementAndGet()) {
                case 1 -> line.answer("200 OK", "", SidecarFixture.list(41, false));
                case 2 -> {}
                default -> line.answer("200 OK", "", SidecarFixture.list(42, false, DRAINS));
            }
        })) {
            rig.await("list CACHED");
            assertEquals("list DELTA u0=DRAINING", rig.await("list"));
        }
    }

    @Test
    void silenceIsNoticedWellBeforeWhatItHidesCountsAsTold() {
        WatchTimeouts usual = WatchTimeouts.DEFAULT;
        long toldMs = Math.min(6_000, usual.waitMillis() + 2_000);
        assertTrue(
                usual.longPollTimeoutMillis() <= toldMs - 1_000,
                "noticed after " + usual.longPollTimeoutMillis() + " ms");
        // After a new configuration, 4 s: for several calls that nobody answers.
        assertTrue(usual.immediateTimeoutMillis(0)
                        + usual.immediateTimeoutMillis(1)
                        + usual.immediateTimeoutMillis(2)
                        + usual.immediateTimeoutMillis(3)
                <= 3_000);
    }

    /** The list that the start brings may be old: it is not served by before discovery was asked. */
    @Test
    void aSidecarIsReadyOnceItHasAskedWhatChanged() throws Exception {
        BlockingQueue<StubServer.Connection> asked = new LinkedBlockingQueue<>();
        try (SidecarFixture rig = pushed(PATIENT, (m, line) -> {
            if (m.path().equals("/registry/instances?index=41&wait=0")) {
                asked.add(line);
            }
        })) {
            StubServer.Connection first = asked.poll(20, TimeUnit.SECONDS);
            assertEquals(503, ready(rig));
            first.answer("200 OK", "", SidecarFixture.list(42, false, UP));
            assertEquals("list DELTA u0=READY", rig.await("list DELTA"));
            assertEquals(200, ready(rig));
        }
    }

    /** While discovery is down nothing is to be had from it, and the list of the start has to do. */
    @Test
    void aSidecarIsReadyAllTheSameWhereNobodyAnswers() throws Exception {
        try (SidecarFixture rig = pushed(new WatchTimeouts(3_600_000, 0, 1), (m, line) -> {})) {
            while (ready(rig) != 200) {
                Thread.onSpinWait();
            }
        }
    }

    private static int ready(SidecarFixture rig) throws Exception {
        try (StubServer.Client client = rig.client()) {
            return client.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n").status();
        }
    }
}
