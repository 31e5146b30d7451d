package loadbalancer.proxy.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.StubServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * The load balancer throws failures of the kinds that occur in a running process. The request has to be answered, and
 * the process has to go on serving.
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
    void failsOnlyRequestInWhichLoadBalancerThrows() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.addEndpoint(StubServer.respondingWith("ok"));
            fixture.onRequest = (nowMicros, request, actions) -> {
                if (request.id().startsWith("failure-")) {
                    FAILURES.get(Integer.parseInt(request.id().substring("failure-".length())))
                            .run();
                }
                actions.sendAttempt(request.id(), "u0", 0);
            };
            fixture.start();
            try (StubServer.Client client = fixture.client()) {
                for (int i = 0; i < FAILURES.size(); i++) {
                    // A request that is not answered at once waits until its deadline, which is as long as the time
                    // limit of the test.
                    client.send(SidecarFixture.idempotentRequest("failure-" + i, 60_000));
                    assertEquals(502, client.readStatus());
                    client.send(SidecarFixture.idempotentRequest("next-" + i, 20_000));
                    assertEquals(200, client.readStatus());
                }
            }
        }
    }

    /** The periodic maintenance, which closes silent connections, has to go on after a timer has failed. */
    @Test
    void runsPeriodicTasksAfterFailure() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.onRequest = (nowMicros, request, actions) -> actions.startTimer("break", 1_000);
            fixture.start();
            try (StubServer.Client active = fixture.client();
                    StubServer.Client silent = fixture.client()) {
                active.send(SidecarFixture.idempotentRequest("a", 60_000));
                // The load balancer throws in its timer, and the requests without an attempt in flight are answered.
                assertEquals(502, active.readStatus());
                // The maintenance still disconnects a silent client.
                assertEquals(true, silent.isClosedBySidecar());
            }
        }
    }
}
