package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import loadbalancer.proxy.testing.SidecarProcessFixture;
import loadbalancer.proxy.testing.StubDiscovery;
import loadbalancer.proxy.testing.StubServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Starts, reloads and stops the sidecar process in the same way as the platform does. */
@Timeout(120)
class MainTest {
    @TempDir
    Path folder;

    private SidecarProcessFixture sidecar;

    /** A test that fails must not leave its process behind. */
    @AfterEach
    void endProcess() {
        if (sidecar != null) {
            sidecar.close();
        }
    }

    private void start(String config, String... options) throws Exception {
        sidecar = new SidecarProcessFixture(folder, config, Map.of("BALANCER_DISCOVERY", "127.0.0.1:9"), options);
    }

    @Test
    void exitsWithOneLogLineOnInvalidConfiguration() throws Exception {
        start("{\"name\":\"n\"}");
        assertEquals(2, sidecar.process.waitFor());
        List<String> log = sidecar.log();
        assertEquals(1, log.size(), log.toString());
        assertTrue(log.get(0).contains("'settings' is missing"), log.toString());
    }

    private static final String CONFIG =
            """
            {"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1","peer_listen":"127.0.0.1:0",
             "known":{"generation":1,"reset":true,"instances":[]},
             "settings":{"me":0,"balancers":1,"zone":"z","discovery":"on_request",
              "profiles":[{"name":"c","semantics":"safe","objective_us":1,"give_up_us":1}],
              "rules":{"drain_grace_us":1,"cold_share":0.2,"ramp_time_us":1,"fall_multiple":3,"fall_us":1}}}""";

    /** An unhandled SIGHUP would end the process. A reload takes the discovery address from the file. */
    @Test
    void reloadsConfigurationOnHangUpAndRejectsInvalidOne() throws Exception {
        start(CONFIG);
        sidecar.awaitLine("load-balancer: listening ");
        sidecar.writeConfiguration(CONFIG.replace("127.0.0.1:9", "127.0.0.2:9"));
        sidecar.sendHangUp();
        sidecar.awaitLine("discovery_address_changed address=/127.0.0.2:9");
        sidecar.writeConfiguration("{");
        sidecar.sendHangUp();
        sidecar.awaitLine("load-balancer: configuration_rejected ");
        assertTrue(sidecar.process.isAlive());
        assertEquals(0, sidecar.terminate(), sidecar.log().toString());
    }

    /** The application waits while its sidecar starts, so the sidecar must not start what serving does not need. */
    @Test
    void doesNotStartFlightRecorder() throws Exception {
        Path classes = folder.resolve("classes");
        start(CONFIG, "-Xlog:class+load:file=" + classes);
        sidecar.awaitLine("load-balancer: ready ");
        sidecar.terminate();
        List<String> loaded = Files.readAllLines(classes);
        assertTrue(
                loaded.stream().anyMatch(line -> line.contains("io.netty.buffer.")),
                "the class loading log contains no Netty class");
        assertEquals(
                List.of(),
                loaded.stream()
                        .filter(line -> line.contains(" jdk.jfr.internal.PlatformEventType "))
                        .toList());
    }

    /**
     * The first comparison of records loads a hundred classes, which blocks the event loop for 0.1 s if the process has
     * only a fraction of a core.
     */
    @Test
    void doesNotCompareRecordsOnReload() throws Exception {
        Path classes = folder.resolve("classes");
        start(CONFIG, "-Xlog:class+load:file=" + classes);
        sidecar.awaitLine("load-balancer: ready ");
        sidecar.writeConfiguration(CONFIG.replace("127.0.0.1:9", "127.0.0.2:9"));
        sidecar.sendHangUp();
        sidecar.awaitLine("discovery_address_changed address=/127.0.0.2:9");
        // The event loop applies the configuration before it handles the stop.
        sidecar.terminate();
        assertEquals(
                List.of(),
                Files.readAllLines(classes).stream()
                        .filter(line -> line.contains(" java.lang.runtime.ObjectMethods "))
                        .toList());
    }

    /** The warm-up has a discovery of its own. Its end would look like a failure of the real one. */
    @Test
    void doesNotLogEndOfWarmUpAsFailedCall() throws Exception {
        StubDiscovery agent = new StubDiscovery(1);
        try (StubServer discovery = new StubServer(agent)) {
            String config = CONFIG.replace("on_request", "pushed").replace("127.0.0.1:9", discovery.address());
            // Without compiled code the warm-up lasts long enough for a second call to its discovery.
            sidecar = new SidecarProcessFixture(folder, config, Map.of(), "-Xint");
            sidecar.awaitLine("load-balancer: ready ");
            agent.publish(2);
            sidecar.awaitLine("endpoint_list_applied generation=2 ");
            List<String> failures = sidecar.log().stream()
                    .filter(line -> line.contains("discovery_call_failed reason=connection_closed"))
                    .toList();
            assertEquals(List.of(), failures);
        }
    }

    /** A requested stop is not a failure, so the exit code must not be that of the signal. */
    @Test
    void exitsWithZeroOnTerminationSignal() throws Exception {
        start(CONFIG);
        sidecar.awaitLine("load-balancer: listening ");
        assertEquals(0, sidecar.terminate(), sidecar.log().toString());
    }
}
