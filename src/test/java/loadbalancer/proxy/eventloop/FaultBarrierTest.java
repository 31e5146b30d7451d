package loadbalancer.proxy.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.StubServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Errors of the kinds that a running process meets, forced in the module: the process goes on, and the request is
 * answered.
 */
@Timeout(60)
class FaultBarrierTest {
    private static int overflow(int depth) {
        return overflow(depth + 1) + 1;
    }

    private static final List<Runnable> FAULTS = List.of(
            () -> overflow(0),
            () -> {
                throw new OutOfMemoryError("Java heap space");
            },
            () -> {
                throw new OutOfMemoryError("Metaspace");
            },
            () -> {
                throw new OutOfMemoryError("Cannot reserve 4194304 bytes of direct buffer memory");
            },
            () -> {
                throw new NoClassDefFoundError("Could not initialize class loadbalancer.Something");
            },
            () -> {
                throw new IllegalStateException("as the test wants");
            });

    @Test
    void anErrorInOneRequestEndsThatRequestAtOnceAndNothingElse() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.upstream((m, line) -> line.answer("200 OK", "", "ok"));
            fixture.onRequest = (now, r, out) -> {
                if (r.id().startsWith("fault-")) {
                    FAULTS.get(Integer.parseInt(r.id().substring("fault-".length())))
                            .run();
                }
                out.sendAttempt(r.id(), "u0", 0);
            };
            fixture.start();
            try (StubServer.Client client = fixture.client()) {
                for (int i = 0; i < FAULTS.size(); i++) {
                    // Without an answer at once this waits for its deadline, longer than the test may take.
                    client.send(SidecarFixture.get("fault-" + i, 60_000));
                    assertEquals(502, client.status());
                    client.send(SidecarFixture.get("next-" + i, 20_000));
                    assertEquals(200, client.status());
                }
            }
        }
    }

    /** Ticks keep the connections in bounds: they go on after one that failed. */
    @Test
    void whatRunsAgainAndAgainIsNotEndedByAFailure() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.onRequest = (now, r, out) -> out.startTimer("break", 1_000);
            fixture.start();
            try (StubServer.Client asking = fixture.client();
                    StubServer.Client silent = fixture.client()) {
                asking.send(SidecarFixture.get("a", 60_000));
                // The module breaks in its timer, and what it held is answered.
                assertEquals(502, asking.status());
                // Who says nothing is still put out by the sweep.
                assertEquals(true, silent.ended());
            }
        }
    }
}
