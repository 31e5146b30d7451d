package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Starts, reloads and stops the sidecar process in the same way as the platform does. */
@Timeout(120)
class MainTest {
    @TempDir
    Path folder;

    private Process started;

    /** A test that fails must not leave its process behind. */
    @AfterEach
    void endProcess() {
        if (started != null) {
            started.destroyForcibly();
        }
    }

    private Process start(String config, String... options) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, config);
        List<String> command = new ArrayList<>(List.of(options));
        command.add(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "loadbalancer.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(variable -> variable.startsWith("BALANCER_"));
        builder.environment().put("BALANCER_CONFIG", file.toString());
        builder.environment().put("BALANCER_DISCOVERY", "127.0.0.1:9");
        builder.redirectError(folder.resolve("log").toFile());
        started = builder.start();
        return started;
    }

    private List<String> log() throws Exception {
        return Files.readString(folder.resolve("log"), StandardCharsets.UTF_8)
                .lines()
                .filter(line -> !line.startsWith("Picked up "))
                .toList();
    }

    @Test
    void exitsWithOneLogLineOnInvalidConfiguration() throws Exception {
        Process process = start("{\"name\":\"n\"}");
        assertEquals(2, process.waitFor());
        assertEquals(1, log().size(), log().toString());
        assertTrue(log().get(0).contains("'settings' is missing"), log().toString());
    }

    private static final String CONFIG =
            """
            {"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1","peer_listen":"127.0.0.1:0",
             "known":{"generation":1,"reset":true,"instances":[]},
             "settings":{"me":0,"balancers":1,"zone":"z","discovery":"on_request",
              "profiles":[{"name":"c","semantics":"safe","objective_us":1,"give_up_us":1}],
              "rules":{"drain_grace_us":1,"cold_share":0.2,"ramp_time_us":1,"fall_multiple":3,"fall_us":1}}}""";

    private void awaitLine(Process process, String text) throws Exception {
        while (log().stream().noneMatch(line -> line.contains(text))) {
            assertTrue(process.isAlive(), "the process ended: " + log());
            Thread.sleep(20);
        }
    }

    private static void sendHangUp(Process process) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-HUP", "" + process.pid()).start().waitFor());
    }

    /** An unhandled SIGHUP would end the process. A reload takes the discovery address from the file. */
    @Test
    void reloadsConfigurationOnHangUpAndRejectsInvalidOne() throws Exception {
        Process process = start(CONFIG);
        awaitLine(process, "load-balancer: listening ");
        Files.writeString(folder.resolve("config.json"), CONFIG.replace("127.0.0.1:9", "127.0.0.2:9"));
        sendHangUp(process);
        awaitLine(process, "discovery_address_changed address=/127.0.0.2:9");
        Files.writeString(folder.resolve("config.json"), "{");
        sendHangUp(process);
        awaitLine(process, "load-balancer: configuration_rejected ");
        assertTrue(process.isAlive());
        process.destroy();
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue(), log().toString());
    }

    /** The application waits while its sidecar starts, so the sidecar must not start what serving does not need. */
    @Test
    void doesNotStartFlightRecorder() throws Exception {
        Path classes = folder.resolve("classes");
        Process process = start(CONFIG, "-Xlog:class+load:file=" + classes);
        awaitLine(process, "load-balancer: ready ");
        process.destroy();
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
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
        Process process = start(CONFIG, "-Xlog:class+load:file=" + classes);
        awaitLine(process, "load-balancer: ready ");
        Files.writeString(folder.resolve("config.json"), CONFIG.replace("127.0.0.1:9", "127.0.0.2:9"));
        sendHangUp(process);
        awaitLine(process, "discovery_address_changed address=/127.0.0.2:9");
        // The event loop applies the configuration before it handles the stop.
        process.destroy();
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        assertEquals(
                List.of(),
                Files.readAllLines(classes).stream()
                        .filter(line -> line.contains(" java.lang.runtime.ObjectMethods "))
                        .toList());
    }

    /** A requested stop is not a failure, so the exit code must not be that of the signal. */
    @Test
    void exitsWithZeroOnTerminationSignal() throws Exception {
        Process process = start(CONFIG);
        awaitLine(process, "load-balancer: listening ");
        process.destroy();
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue(), log().toString());
    }
}
