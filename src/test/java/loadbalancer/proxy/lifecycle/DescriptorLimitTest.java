package loadbalancer.proxy.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.StubServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Idle clients may fill what descriptors there are, while discovery is away: what the service needs is left all the
 * same.
 */
@Timeout(60)
class DescriptorLimitTest {
    /** For the program's files, its logs and class files, its listeners, and the connection to discovery. */
    private static final int OWN = 48;

    @ParameterizedTest
    @ValueSource(ints = {256, 1024})
    void idleClientsLeaveDescriptorsForDiscoveryForUpstreamsAndForWhoAsks(int sockets) throws Exception {
        List<StubServer.Client> idle = new ArrayList<>();
        try (SidecarFixture fixture = new SidecarFixture((m, line) -> {})) {
            fixture.descriptorLimit = sockets;
            fixture.upstream((m, line) -> line.answer("200 OK", "", "served"));
            fixture.start();
            fixture.await("list FAILED");
            try {
                for (int i = 0; i < sockets; i++) {
                    idle.add(fixture.client());
                }
                // Behind all of them in the backlog, whose room is made as they have said nothing for a while.
                try (StubServer.Client asks = fixture.client()) {
                    asks.send(SidecarFixture.get("asks", 20_000));
                    assertEquals("served", asks.answer().body());
                }
                assertTrue(
                        fixture.sidecar.openConnections() <= sockets - OWN,
                        fixture.sidecar.openConnections() + " are open");
                fixture.discovery.script = (m, line) -> {
                    if (m.path().contains("index=41&")) {
                        line.answer(
                                "200 OK",
                                "",
                                SidecarFixture.list(42, false, SidecarFixture.entry("u9", "127.0.0.1:9", "Ready", 0)));
                    }
                };
                fixture.await("list DELTA u9=READY");
                assertTrue(
                        fixture.sidecar.openConnections() <= sockets - OWN,
                        fixture.sidecar.openConnections() + " are open");
            } finally {
                for (StubServer.Client c : idle) {
                    c.close();
                }
            }
        }
    }

    /** While accepting pauses a request's time runs on in the backlog: it has less left than it says. */
    @Test
    void aRequestThatWaitedInTheBacklogHasThatMuchLessTime() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            // 32 connections in all, 20 of them the clients'.
            fixture.descriptorLimit = 80;
            fixture.onRequest = (now, r, out) -> {
                if (!r.id().startsWith("held")) {
                    out.fail(r.id());
                }
            };
            fixture.start();
            List<StubServer.Client> busy = new ArrayList<>();
            try {
                for (int i = 0; i < 20; i++) {
                    busy.add(fixture.client().send(SidecarFixture.get("held-" + i, 50_000)));
                    fixture.await("request held-" + i);
                }
                try (StubServer.Client waits = fixture.client().send(SidecarFixture.get("waits", 10_000))) {
                    Thread.sleep(1_000);
                    busy.remove(0).close();
                    assertEquals(502, waits.status());
                    long leftUs = Long.parseLong(fixture.await("request waits").split(" ")[2]);
                    assertTrue(leftUs > 5_000_000 && leftUs < 9_100_000, "left " + leftUs);
                }
                // Long after, with room and nothing in the backlog, a request has all of its time.
                busy.remove(0).close();
                try (StubServer.Client later = fixture.client()) {
                    Thread.sleep(200);
                    later.send(SidecarFixture.get("later", 10_000));
                    assertEquals(502, later.status());
                    assertTrue(Long.parseLong(fixture.await("request later").split(" ")[2]) > 9_900_000);
                }
            } finally {
                for (StubServer.Client c : busy) {
                    c.close();
                }
            }
        }
    }
}
