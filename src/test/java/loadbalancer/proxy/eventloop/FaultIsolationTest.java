package loadbalancer.proxy.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.StubServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Failures of the kinds that a running process meets, thrown by the load balancer: the request is answered and the
 * process serves on.
 */
@Timeout(60)
class FaultIsolationTest {
    private static int overflow(int depth) {
        return overflow(depth + 1) + 1;
    }

    private static final List<Runnable> FAILURES = List.of(
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
                throw new IllegalStateException("thrown by the test");
            });

    @Test
    void aFailureInOneRequestEndsThatRequestAtOnceAndNothingElse() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.upstream(StubServer.respondingWith("ok"));
            fixture.onRequest = (now, request, actions) -> {
                if (request.id().startsWith("failure-")) {
                    FAILURES.get(Integer.parseInt(request.id().substring("failure-".length())))
                            .run();
                }
                actions.sendAttempt(request.id(), "u0", 0);
            };
            fixture.start();
            try (StubServer.Client client = fixture.client()) {
                for (int i = 0; i < FAILURES.size(); i++) {
                    // Not answered at once this would wait for its deadline, for longer than the test may take.
                    client.send(SidecarFixture.get("failure-" + i, 60_000));
                    assertEquals(502, client.status());
                    client.send(SidecarFixture.get("next-" + i, 20_000));
                    assertEquals(200, client.status());
                }
            }
        }
    }

    /** The periodic maintenance closes silent connections: it goes on after a timer that failed. */
    @Test
    void periodicTasksGoOnAfterAFailure() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.onRequest = (now, request, actions) -> actions.startTimer("break", 1_000);
            fixture.start();
            try (StubServer.Client active = fixture.client();
                    StubServer.Client silent = fixture.client()) {
                active.send(SidecarFixture.get("a", 60_000));
                // The load balancer fails in its timer, and the requests that it held are answered.
                assertEquals(502, active.status());
                // A silent client is still disconnected by the maintenance.
                assertEquals(true, silent.isClosedBySidecar());
            }
        }
    }
}
