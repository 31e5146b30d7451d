package loadbalancer.proxy.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.protocol.EndpointList;

/**
 * A sidecar process, started, reloaded and stopped in the same way as by the platform. Closing it kills the process.
 */
public final class SidecarProcessFixture implements AutoCloseable {
    private static final long POLL_INTERVAL_MILLIS = 20;
    private static final long MAX_SHUTDOWN_SECONDS = 60;

    private static final String SETTINGS_JSON =
            """
            {"me":0,"balancers":1,"zone":"za","azs":["za"],"kinds":["k"],"discovery":"DISCOVERY_MODE",
             "profiles":[{"name":"c","semantics":"safe","objective_us":100000,"give_up_us":1000000}],
             "rules":{"drain_grace_us":250000,"cold_share":0.2,"ramp_time_us":1000000,"fall_multiple":3,
                      "fall_us":1000000,"ask_every_us":10000000},
             "limits":{"max_attempts":4,"dial_timeout_us":150000,"conn_idle_us":10000000}}""";

    private final Path configurationFile;
    private final Path logFile;
    public final Process process;

    /**
     * Starts the process.
     *
     * @param folder the folder for the configuration file and the log
     * @param environment variables that override fields of the configuration
     * @param jvmOptions further options of the Java virtual machine
     */
    public SidecarProcessFixture(
            Path folder, String configuration, Map<String, String> environment, String... jvmOptions)
            throws IOException {
        configurationFile = folder.resolve("config.json");
        logFile = folder.resolve("log");
        writeConfiguration(configuration);
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of(jvmOptions));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "loadbalancer.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(variable -> variable.startsWith("BALANCER_"));
        builder.environment().put("BALANCER_CONFIG", configurationFile.toString());
        builder.environment().putAll(environment);
        builder.redirectError(logFile.toFile());
        process = builder.start();
    }

    /**
     * Returns the settings of a sidecar without peers, with one class of idempotent requests and a drain grace of 0.25
     * s.
     *
     * @param discoveryMode {@code pushed} or {@code on_request}
     */
    public static String settingsJson(String discoveryMode) {
        return SETTINGS_JSON.replace("DISCOVERY_MODE", discoveryMode);
    }

    /** Returns a configuration with an ephemeral port and, as the list of before, generation 41 with these entries. */
    public static String configurationJson(String discoveryAddress, String settings, String... knownEntries) {
        return "{\"listen\":\"127.0.0.1:0\",\"seed\":\"1\",\"discovery\":\"" + discoveryAddress + "\",\"known\":"
                + SidecarFixture.endpointListJson(41, true, knownEntries) + ",\"settings\":" + settings + "}";
    }

    /** Returns the options of the Java virtual machine that the deploy file states, without the class archive. */
    public static String[] deployedJvmOptions() throws IOException {
        String run = Files.readString(Path.of("deploy/balancer.toml"))
                .lines()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        return Arrays.stream(run.split(" "))
                .filter(option -> option.startsWith("-X") || option.startsWith("-D"))
                .filter(option -> !option.contains("hare"))
                .toArray(String[]::new);
    }

    /** Replaces the configuration file. The process reads it at the next {@link #sendHangUp}. */
    public void writeConfiguration(String configuration) throws IOException {
        Files.writeString(configurationFile, configuration);
    }

    /** Returns the lines that the process has logged so far. */
    public List<String> log() throws IOException {
        return Files.readString(logFile, StandardCharsets.UTF_8)
                .lines()
                .filter(line -> !line.startsWith("Picked up "))
                .toList();
    }

    /** Waits until a line of the log contains {@code text}, and returns the line. Fails if the process ends before. */
    public String awaitLine(String text) throws Exception {
        while (true) {
            for (String line : log()) {
                if (line.contains(text)) {
                    return line;
                }
            }
            assertTrue(process.isAlive(), () -> "the process ended before it logged: " + text);
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    /** Waits until the sidecar listens, and returns the address for its clients. */
    public InetSocketAddress awaitListenAddress() throws Exception {
        String line = awaitLine("load-balancer: listening ");
        String address = line.replaceAll(".* address=/(\\S+).*", "$1");
        return EndpointList.parseAddress(address);
    }

    public void sendHangUp() throws Exception {
        ProcessBuilder kill = new ProcessBuilder("kill", "-HUP", "" + process.pid());
        assertEquals(0, kill.start().waitFor());
    }

    /** Sends SIGTERM, waits until the process has ended, and returns its exit code. */
    public int terminate() throws InterruptedException {
        process.destroy();
        assertTrue(process.waitFor(MAX_SHUTDOWN_SECONDS, TimeUnit.SECONDS));
        return process.exitValue();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
