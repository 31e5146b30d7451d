import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** A sidecar, started in a process of its own by the command {@code run} of the deploy file. */
final class Sidecar implements AutoCloseable {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final long READY_TIMEOUT_SECONDS = 30;

    private final String name;
    private final int port;
    private final Path folder;
    private final DiscoveryAgent discovery;
    private final Recorder recorder;
    private Process process;

    /**
     * @param index the number of the sidecar among {@code count}
     * @param sockets the limit of file descriptors that the sidecar is told
     */
    Sidecar(int index, int count, int sockets, Path folder, DiscoveryAgent discovery, Recorder recorder) throws IOException {
        name = "n" + index;
        this.folder = folder;
        this.discovery = discovery;
        this.recorder = recorder;
        port = freePort();
        Files.writeString(configuration(), configurationJson(index, count, sockets));
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private Path configuration() {
        return folder.resolve(name + ".json");
    }

    String name() {
        return name;
    }

    int port() {
        return port;
    }

    private String configurationJson(int index, int count, int sockets) {
        String profiles = RequestClass.ALL.stream().map(RequestClass::json).collect(Collectors.joining(","));
        return """
                {"name":"%s","listen":"127.0.0.1:%d","discovery":"%s","seed":"8c1f30d27a5be96%d",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},
                 "known":%s,
                 "settings":{"me":%d,"balancers":%d,"zone":"kacyiru-dc","azs":["kacyiru-dc"],
                  "kinds":["full-3c","slow-3c"],"discovery":"pushed","family":"mesh","counted_by":"request",
                  "over_share_worth":0.2,"period_us":5000,"weights":"rough",
                  "accounts":[{"name":"tender-office","quota_rps":201.0,"share":1.0}],
                  "profiles":[%s],
                  "limits":{"cancelling":true,"conn_idle_us":10000000,"dial_timeout_us":150000,"max_attempts":5,
                   "max_retry_after_us":2000000,"peers":false,"probing":false,"retry_after":true,
                   "second_copies":true},
                  "load_info":{"fields":[],"how":"off"},
                  "rules":{"answer_slack_us":20000,"ask_every_us":10000000,"cold_share":0.13,
                   "drain_grace_us":250000,"fall_multiple":3.0,"fall_us":2000000,"ramp_time_us":22000000},
                  "tariffs":{"connection":0.0,"cross_zone":0.0,"handshake":0.02,"late_fail":0.077,"peer":0.04,
                   "probe":0.0,"waste":0.04}}}
                """
                .formatted(
                        name,
                        port,
                        discovery.address(),
                        index,
                        sockets,
                        discovery.wholeListJson(),
                        index,
                        count,
                        profiles);
    }

    /** Starts the process and waits until it is ready. */
    void start() throws IOException {
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no line 'run'");
        }
        File log = folder.resolve(name + ".log").toFile();
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1));
        builder.environment().put("BALANCER_NAME", name);
        builder.environment().put("BALANCER_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("BALANCER_DISCOVERY", discovery.address());
        builder.environment().put("BALANCER_CONFIG", configuration().toString());
        builder.environment().put("TMPDIR", folder.toString());
        process = builder.redirectErrorStream(true).redirectOutput(log).start();
        // The sidecar must not outlive this program, however it ends.
        Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
        recorder.announce("sidecar %s started pid=%d", name, process.pid());
        awaitReady();
        recorder.announce("sidecar %s ready", name);
    }

    private void awaitReady() throws IOException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
        while (!isReady()) {
            if (System.nanoTime() > endNanos || !process.isAlive()) {
                throw new IOException("sidecar " + name + " is not ready; see " + folder);
            }
            Daemons.sleepMillis(50);
        }
    }

    private boolean isReady() {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(1_000);
            String call = "GET /health/ready HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(call.getBytes(StandardCharsets.ISO_8859_1));
            HttpReader.Message answer = new HttpReader(socket.getInputStream()).read();
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a signal by its name, such as {@code TERM}. */
    void signal(String signal) throws IOException, InterruptedException {
        recorder.announce("sidecar %s gets SIG%s", name, signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Waits until the process has ended; returns whether it has. */
    boolean awaitEnd(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    /** Copies the log of the process to the record. */
    void recordLog() throws IOException {
        for (String line : Files.readAllLines(folder.resolve(name + ".log"), StandardCharsets.UTF_8)) {
            recorder.add("log of %s: %s", name, line);
        }
    }

    /** Kills the process if it is still alive. */
    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
