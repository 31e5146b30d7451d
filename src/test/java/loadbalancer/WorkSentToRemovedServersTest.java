package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.SidecarProcessFixture;
import loadbalancer.proxy.testing.StubDiscovery;
import loadbalancer.proxy.testing.StubServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A server that discovery has removed gets no new work, also if no server is left. */
@Timeout(120)
class WorkSentToRemovedServersTest {
    private static final long DRAIN_GRACE_MILLIS = 250;
    /** The slack of the protocol page for each time limit. */
    private static final long SLACK_MILLIS = 50;

    private static final int REQUESTS_AFTER_REMOVAL = 20;

    @TempDir
    Path folder;

    private static String ready(StubServer server) {
        return SidecarFixture.endpointJson("s-" + server.address(), server.address(), "Ready", 0);
    }

    private static String configuration(String discoveryAddress, String discoveryMode, String... knownEntries) {
        return SidecarProcessFixture.configurationJson(
                discoveryAddress, SidecarProcessFixture.settingsJson(discoveryMode), knownEntries);
    }

    private static void awaitServed(InetSocketAddress sidecarAddress) throws Exception {
        int number = 0;
        while (SidecarFixture.requestStatus(sidecarAddress, "await-" + number, 1_000) != 200) {
            number++;
            Thread.sleep(20);
        }
    }

    private static void assertNoRequestReaches(StubServer server, InetSocketAddress sidecarAddress) throws Exception {
        server.receivedRequests.clear();
        for (int i = 0; i < REQUESTS_AFTER_REMOVAL; i++) {
            int status = SidecarFixture.requestStatus(sidecarAddress, "removed-" + i, 200);
            assertTrue(status == 429 || status == 503 || status == 502 || status == 504, "status " + status);
        }
        assertEquals(0, server.receivedRequests.size(), "requests reached a removed server");
    }

    @ParameterizedTest
    @ValueSource(strings = {"pushed", "on_request"})
    void sendsNothingAfterFullSnapshotWithoutServers(String discoveryMode) throws Exception {
        try (StubServer server = new StubServer(StubServer.echoingRequestId())) {
            StubDiscovery agent = new StubDiscovery(41, ready(server));
            try (StubServer discovery = new StubServer(agent);
                    SidecarProcessFixture sidecar = new SidecarProcessFixture(
                            folder, configuration(discovery.address(), discoveryMode, ready(server)), Map.of())) {
                InetSocketAddress sidecarAddress = sidecar.awaitListenAddress();
                sidecar.awaitLine("load-balancer: ready ");
                awaitServed(sidecarAddress);
                agent.publish(42);
                agent.awaitSent();
                Thread.sleep(DRAIN_GRACE_MILLIS + SLACK_MILLIS);
                assertNoRequestReaches(server, sidecarAddress);
                agent.publish(43, ready(server));
                awaitServed(sidecarAddress);
            }
        }
    }

    /** A sidecar that is restarted while no server is left must not count as a failed start. */
    @Test
    void becomesReadyAndRejectsRequestsWithoutServers() throws Exception {
        StubDiscovery agent = new StubDiscovery(41);
        try (StubServer server = new StubServer(StubServer.echoingRequestId());
                StubServer discovery = new StubServer(agent);
                SidecarProcessFixture sidecar = new SidecarProcessFixture(
                        folder, configuration(discovery.address(), "pushed", ready(server)), Map.of())) {
            InetSocketAddress sidecarAddress = sidecar.awaitListenAddress();
            sidecar.awaitLine("load-balancer: ready ");
            agent.publish(42);
            agent.awaitSent();
            assertEquals(200, SidecarFixture.readinessStatus(sidecarAddress));
            assertNoRequestReaches(server, sidecarAddress);
            agent.publish(43, ready(server));
            awaitServed(sidecarAddress);
        }
    }

    @Test
    void sendsNothingAfterReloadToDiscoveryWithoutServers() throws Exception {
        try (StubServer server = new StubServer(StubServer.echoingRequestId())) {
            StubDiscovery nextAgent = new StubDiscovery(3);
            try (StubServer discovery = new StubServer(new StubDiscovery(41, ready(server)));
                    StubServer nextDiscovery = new StubServer(nextAgent);
                    SidecarProcessFixture sidecar = new SidecarProcessFixture(
                            folder, configuration(discovery.address(), "pushed", ready(server)), Map.of())) {
                InetSocketAddress sidecarAddress = sidecar.awaitListenAddress();
                sidecar.awaitLine("load-balancer: ready ");
                awaitServed(sidecarAddress);
                sidecar.writeConfiguration(configuration(nextDiscovery.address(), "pushed", ready(server)));
                sidecar.sendHangUp();
                nextAgent.awaitSent();
                Thread.sleep(DRAIN_GRACE_MILLIS + SLACK_MILLIS);
                assertNoRequestReaches(server, sidecarAddress);
            }
        }
    }
}
