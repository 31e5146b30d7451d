package loadbalancer.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.SidecarProcessFixture;
import loadbalancer.proxy.testing.StubDiscovery;
import loadbalancer.proxy.testing.StubServer;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * An endpoint that returns after the wall clocks of all machines were stepped is in slow start for the time that the
 * settings state, no shorter and no longer.
 */
@Timeout(120)
class WallClockStepTest {
    private static final long SLOW_START_MILLIS = 3_000;
    /** In slow start an endpoint may get hardly any request. */
    private static final String SETTINGS = SidecarFixture.SETTINGS_JSON
            .replace("on_request", "pushed")
            .replace("\"cold_share\":0.2", "\"cold_share\":0.02")
            .replace("\"ramp_time_us\":9000000", "\"ramp_time_us\":" + SLOW_START_MILLIS * 1_000)
            .replace("\"fall_multiple\":3", "\"fall_multiple\":1")
            .replace("\"objective_us\":300000", "\"objective_us\":150000");

    private static final int REQUESTS_PER_PHASE = 60;
    private static final long REQUEST_INTERVAL_MILLIS = 10;

    @TempDir
    Path folder;

    private static String entry(StubServer server, long startedAtMillis) {
        return SidecarFixture.endpointJson("u0", server.address(), "Ready", startedAtMillis);
    }

    /** Sends requests at a constant rate without waiting for their responses, and returns how many are served. */
    private static int sendRequests(InetSocketAddress address, String phase) throws Exception {
        StubServer.Client[] clients = new StubServer.Client[REQUESTS_PER_PHASE];
        for (int i = 0; i < clients.length; i++) {
            clients[i] = new StubServer.Client(address).send(SidecarFixture.idempotentRequest(phase + i, 300));
            Thread.sleep(REQUEST_INTERVAL_MILLIS);
        }
        int served = 0;
        for (StubServer.Client client : clients) {
            served += client.readStatus() == 200 ? 1 : 0;
            client.close();
        }
        return served;
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 3_600_000, -3_600_000})
    void keepsSlowStartAfterStepOfAllWallClocks(long stepMillis) throws Exception {
        FaultShim shim = FaultShim.compile(folder).orElseThrow();
        Map<String, String> environment = new HashMap<>();
        FaultShim.Control control = shim.attach(folder.resolve("control"), environment);
        StubServer.RequestHandler endpoint = (request, connection) -> {
            StubServer.sleep(50);
            connection.respond("200 OK", "", "ok");
        };
        try (StubServer server = new StubServer(endpoint)) {
            StubDiscovery agent = new StubDiscovery(41, entry(server, 0));
            try (StubServer discovery = new StubServer(agent)) {
                String configuration =
                        SidecarProcessFixture.configurationJson(discovery.address(), SETTINGS, entry(server, 0));
                try (SidecarProcessFixture sidecar = new SidecarProcessFixture(folder, configuration, environment)) {
                    InetSocketAddress address = sidecar.awaitListenAddress();
                    sidecar.awaitLine("load-balancer: ready ");
                    int before = sendRequests(address, "before-");
                    agent.publish(42);
                    sidecar.awaitLine("endpoint_list_applied generation=42 ");
                    control.setClockStepMillis(stepMillis);
                    agent.publish(43, entry(server, System.currentTimeMillis() + stepMillis));
                    sidecar.awaitLine("endpoint_list_applied generation=43 ");
                    int during = sendRequests(address, "during-");
                    Thread.sleep(SLOW_START_MILLIS);
                    int after = sendRequests(address, "after-");
                    String counts = "served before, during, after slow start: " + before + " " + during + " " + after;
                    System.out.println(counts);
                    assertTrue(before > 0 && during < before / 2 && after > before / 2, counts);
                }
            }
        }
    }
}
