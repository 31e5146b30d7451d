package loadbalancer.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.SidecarProcessFixture;
import loadbalancer.proxy.testing.StubDiscovery;
import loadbalancer.proxy.testing.StubServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** System calls that fail for a moment must not leave the sidecar without a watch on the endpoint list. */
@Timeout(120)
class FailingSystemCallsTest {
    private static final int FAILURES_PER_THOUSAND = 300;
    private static final long FAILING_MILLIS = 3_000;
    private static final String ENTRY = SidecarFixture.endpointJson("u0", "127.0.0.1:9", "Ready", 0);

    @TempDir
    Path folder;

    @Test
    void watchesDiscoveryAfterSocketsCouldNotBeOpened() throws Exception {
        FaultShim shim = FaultShim.compile(folder).orElseThrow();
        Map<String, String> environment = new HashMap<>();
        FaultShim.Control control = shim.attach(folder.resolve("control"), environment);
        StubDiscovery agent = new StubDiscovery(41, ENTRY);
        AtomicBoolean resetting = new AtomicBoolean();
        StubServer.RequestHandler agentOrReset = (request, connection) -> {
            if (resetting.get()) {
                connection.reset();
            } else {
                agent.handle(request, connection);
            }
        };
        try (StubServer discovery = new StubServer(agentOrReset)) {
            String configuration = SidecarProcessFixture.configurationJson(
                    discovery.address(), SidecarFixture.SETTINGS_JSON.replace("on_request", "pushed"), ENTRY);
            try (SidecarProcessFixture sidecar = new SidecarProcessFixture(folder, configuration, environment)) {
                sidecar.awaitLine("load-balancer: ready ");
                // Each call needs a new socket, and some of them can't be opened.
                resetting.set(true);
                control.setFailuresPerThousand(FAILURES_PER_THOUSAND);
                agent.publish(42, ENTRY);
                Thread.sleep(FAILING_MILLIS);
                control.setFailuresPerThousand(0);
                resetting.set(false);
                agent.publish(43);
                sidecar.awaitLine("endpoint_list_applied generation=43 ");
                assertTrue(sidecar.process.isAlive());
            }
        }
    }
}
