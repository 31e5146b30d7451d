package loadbalancer.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import loadbalancer.soak.History.FaultLine;
import loadbalancer.soak.History.ProcessEvent;
import loadbalancer.soak.History.ProcessEventType;
import loadbalancer.soak.History.ResourceSample;

/**
 * One sidecar, in a new process after each restart. The methods that start, signal and sample block; they are called on
 * the thread of the run that carries out faults. Everything that is recorded is recorded on the event loop.
 */
final class SidecarUnderTest {
    /** A line of the log and when it was read. */
    record LogLine(long atMicros, int process, String text) {}

    private static final Pattern FAULT =
            Pattern.compile("task_failed|request_handler_failed|client_connection_failed|start_failed|netty_error|"
                    + "configuration_invalid|OutOfMemory");
    private static final int MAX_LOG_LINES = 5_000;
    private static final List<String> JAVA_OPTIONS = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData",
            "-Xms24m",
            "-Xmx72m",
            "-Xss512k",
            "-XX:MaxMetaspaceSize=40m",
            "-XX:ReservedCodeCacheSize=24m",
            "-XX:MaxDirectMemorySize=40m",
            "-Dio.netty.allocator.type=pooled",
            "-Dio.netty.allocator.numDirectArenas=1",
            "-Dio.netty.allocator.numHeapArenas=1",
            "-Dio.netty.allocator.maxOrder=3");

    private final int sidecar;
    private final SoakContext context;
    private final Path configuration;
    private final Path shimControl;
    private final FaultShim shim;
    private final List<LogLine> log = new ArrayList<>();
    private Process process;
    private volatile int processNumber;
    private FaultShim.Control control;

    /** @param shim null if system calls can't be made to fail */
    SidecarUnderTest(int sidecar, SoakContext context, Path folder, FaultShim shim) {
        this.sidecar = sidecar;
        this.context = context;
        this.shim = shim;
        configuration = folder.resolve("sidecar-" + sidecar + ".json");
        shimControl = folder.resolve("sidecar-" + sidecar + ".control");
    }

    int processNumber() {
        return processNumber;
    }

    /** Returns null without a shim. */
    FaultShim.Control control() {
        return control;
    }

    /** Returns the log, which is confined to the event loop. */
    List<LogLine> log() {
        return log;
    }

    void writeConfiguration(String json) throws IOException {
        Files.writeString(configuration, json);
    }

    /** Starts a process with this number, which is unique in the run. */
    void start(int number) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JAVA_OPTIONS);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "loadbalancer.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(variable -> variable.startsWith("BALANCER_"));
        builder.environment().put("BALANCER_CONFIG", configuration.toString());
        if (shim != null) {
            control = shim.attach(shimControl, builder.environment());
        }
        processNumber = number;
        record(ProcessEventType.STARTED, 0);
        process = builder.start();
        Process started = process;
        startThread("log of sidecar " + sidecar, () -> readLog(started, number));
        started.onExit().thenAccept(ended -> context.loop()
                .execute(() -> addEvent(number, ProcessEventType.EXITED, ended.exitValue())));
    }

    private static void startThread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void readLog(Process started, int number) {
        try (BufferedReader reader =
                new BufferedReader(new InputStreamReader(started.getErrorStream(), StandardCharsets.UTF_8))) {
            for (String line; (line = reader.readLine()) != null; ) {
                String text = line;
                context.loop().execute(() -> addLogLine(number, text));
            }
        } catch (IOException e) {
            // The process has ended.
        }
    }

    private void addLogLine(int number, String text) {
        if (log.size() < MAX_LOG_LINES) {
            log.add(new LogLine(context.clock().nowMicros(), number, text));
        }
        if (FAULT.matcher(text).find()) {
            context.history().faultLines.add(new FaultLine(number, text));
        }
    }

    /** Records an event of the present process. */
    void record(ProcessEventType type, int exitCode) {
        int number = processNumber;
        long atMicros = context.clock().nowMicros();
        context.loop().execute(() -> context.history()
                .processEvents
                .add(new ProcessEvent(number, sidecar, type, atMicros, exitCode)));
    }

    private void addEvent(int number, ProcessEventType type, int exitCode) {
        context.history()
                .processEvents
                .add(new ProcessEvent(number, sidecar, type, context.clock().nowMicros(), exitCode));
    }

    /** Returns the id of the present process, which must have been started. */
    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Sends a signal by its name, such as {@code HUP}. */
    void signal(String name, ProcessEventType type) throws IOException, InterruptedException {
        record(type, 0);
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    void kill() throws InterruptedException {
        record(ProcessEventType.KILL_SENT, 0);
        process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    }

    /** Records the descriptors and the memory that the process uses now. */
    void sampleResources() {
        if (!isAlive()) {
            return;
        }
        int number = processNumber;
        Path folder = Path.of("/proc", Long.toString(process.pid()));
        try (Stream<Path> descriptors = Files.list(folder.resolve("fd"))) {
            int descriptorCount = (int) descriptors.count();
            String[] pages = Files.readString(folder.resolve("statm")).split(" ");
            long residentBytes = Long.parseLong(pages[1]) * 4_096;
            long atMicros = context.clock().nowMicros();
            context.loop().execute(() -> context.history()
                    .resourceSamples
                    .add(new ResourceSample(number, atMicros, descriptorCount, residentBytes)));
        } catch (IOException | UncheckedIOException e) {
            // The process has ended.
        }
    }
}
