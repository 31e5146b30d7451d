package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.SidecarProcessFixture;
import loadbalancer.proxy.testing.StubDiscovery;
import loadbalancer.proxy.testing.StubServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Discovery's agent answers late. Its lists have to be applied all the same, and in time. */
@Timeout(60)
class SlowDiscoveryTest {
    /** Within this time after discovery had it and could be reached, a change counts as told. */
    private static final long NOTIFIED_MILLIS = 6_000;

    private static final long DRAIN_GRACE_MILLIS = 250;
    private static final String ENTRY = SidecarFixture.endpointJson("u0", "127.0.0.1:9", "Ready", 0);

    @TempDir
    Path folder;

    private static String configuration(String discoveryAddress, String discoveryMode) {
        return SidecarProcessFixture.configurationJson(
                discoveryAddress, SidecarProcessFixture.settingsJson(discoveryMode), ENTRY);
    }

    private SidecarProcessFixture startSidecar(StubServer discovery, String discoveryMode) throws Exception {
        return new SidecarProcessFixture(folder, configuration(discovery.address(), discoveryMode), Map.of());
    }

    /** Publishes a change now and checks that the sidecar applies it while it may still count as not notified. */
    private static void assertChangeIsAppliedInTime(StubDiscovery agent, SidecarProcessFixture sidecar)
            throws Exception {
        long changedNanos = System.nanoTime();
        agent.publish(42, ENTRY.replace("Ready", "Terminating"));
        sidecar.awaitLine("endpoint_list_applied generation=42 ");
        long appliedMillis = (System.nanoTime() - changedNanos) / 1_000_000;
        assertTrue(
                appliedMillis <= NOTIFIED_MILLIS + DRAIN_GRACE_MILLIS,
                "applied " + appliedMillis + " ms after discovery had it");
    }

    /** Guards against calls that are given up before a very slow agent answers any of them. */
    @Test
    void appliesListThatArrivesAfterWaitForFirstList() throws Exception {
        StubDiscovery agent = new StubDiscovery(42, ENTRY);
        agent.setDelayMillis(8_000);
        try (StubServer discovery = new StubServer(agent);
                SidecarProcessFixture sidecar = startSidecar(discovery, "pushed")) {
            sidecar.awaitLine("endpoint_list_unconfirmed ");
            sidecar.awaitLine("endpoint_list_applied generation=42 ");
        }
    }

    /** Guards against a newer call that is given up because an older one has been answered. */
    @ParameterizedTest
    @ValueSource(strings = {"pushed", "on_request"})
    void appliesChangeThatComesBetweenTwoSlowAnswers(String discoveryMode) throws Exception {
        StubDiscovery agent = new StubDiscovery(41, ENTRY);
        try (StubServer discovery = new StubServer(agent);
                SidecarProcessFixture sidecar = startSidecar(discovery, discoveryMode)) {
            sidecar.awaitLine("load-balancer: ready ");
            agent.setDelayMillis(4_500);
            // The wait of the first slow watch has ended by then, and its empty answer is on the way.
            Thread.sleep(4_500);
            assertChangeIsAppliedInTime(agent, sidecar);
        }
    }

    /** Guards against a late list that can't be read and leaves the sidecar asking for changes to an unknown list. */
    @Test
    void requestsFullSnapshotAfterLateMalformedList() throws Exception {
        try (StubServer discovery = new StubServer((request, connection) -> {
                    StubServer.sleep(1_500);
                    boolean wholeList = request.path().equals("/registry/instances");
                    connection.respond(
                            "200 OK", "", wholeList ? SidecarFixture.endpointListJson(42, true, ENTRY) : "no json");
                });
                SidecarProcessFixture sidecar = startSidecar(discovery, "pushed")) {
            String ready = sidecar.awaitLine("load-balancer: ready ");
            assertTrue(ready.contains("endpoint_list_source=discovery"), ready);
        }
    }

    /**
     * Guards against reloads in quick succession, each of which cancels the call that a slow agent is about to answer.
     */
    @Test
    void appliesChangeWhileReloadsMoveSlowDiscovery() throws Exception {
        StubDiscovery agent = new StubDiscovery(41, ENTRY);
        try (StubServer first = new StubServer(agent);
                StubServer second = new StubServer(agent);
                SidecarProcessFixture sidecar = startSidecar(first, "pushed")) {
            sidecar.awaitLine("load-balancer: ready ");
            agent.setDelayMillis(1_300);
            CountDownLatch applied = new CountDownLatch(1);
            Thread reloads = new Thread(() -> reloadUntil(applied, sidecar, second.address(), first.address()));
            reloads.start();
            sidecar.awaitLine("discovery_address_changed ");
            assertChangeIsAppliedInTime(agent, sidecar);
            applied.countDown();
            reloads.join();
        }
    }

    /** Moves discovery from one of two addresses to the other once a second, for up to 10 s. */
    private static void reloadUntil(CountDownLatch end, SidecarProcessFixture sidecar, String... addresses) {
        try {
            int reloads = 0;
            do {
                sidecar.writeConfiguration(configuration(addresses[reloads % 2], "pushed"));
                sidecar.sendHangUp();
            } while (++reloads < 10 && !end.await(1, TimeUnit.SECONDS));
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Guards against calls from an outage that leave no place for those that a slow agent answers after it. */
    @ParameterizedTest
    @ValueSource(longs = {7_000, 12_000})
    void appliesChangeAfterOutageOfSlowDiscovery(long silentMillis) throws Exception {
        StubDiscovery agent = new StubDiscovery(41, ENTRY);
        try (StubServer discovery = new StubServer(agent);
                SidecarProcessFixture sidecar = startSidecar(discovery, "pushed")) {
            sidecar.awaitLine("load-balancer: ready ");
            agent.setSilent(true);
            Thread.sleep(silentMillis);
            agent.setDelayMillis(4_500);
            agent.setSilent(false);
            assertChangeIsAppliedInTime(agent, sidecar);
        }
    }
}
