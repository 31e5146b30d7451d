import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** One sidecar process, started with the line `run` of the deploy file, and its configuration. */
final class Sidecar {
    final int port = freePort();
    private final int peerPort = freePort();
    private final Path root;
    private final Path folder;
    private final Record record;
    private Process process;
    private Thread atExit;
    /** How many descriptors the sidecar is told that it may have. */
    int sockets = 256;
    /** The settings in the configuration file that {@link #configure} writes. */
    String settings = SETTINGS;

    Sidecar(Path root, Path folder, Record record) throws IOException {
        this.root = root;
        this.folder = folder;
        this.record = record;
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            return socket.getLocalPort();
        }
    }

    /** Writes the configuration file, with the address of discovery and the list as it was last known. */
    void configure(String discovery, String known) throws IOException {
        String peer = "\"127.0.0.1:" + peerPort + "\"";
        String json = "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":144,\"sockets\":" + sockets
                + "},\"peer_listen\":\"127.0.0.1:" + peerPort + "\",\"peers\":[" + peer + "],\"known\":" + known
                + ",\"settings\":" + settings + "}";
        Files.writeString(folder.resolve("config.json"), json);
    }

    void start() throws IOException {
        String deploy = Files.readString(root.resolve("deploy/balancer.toml"));
        String run = deploy.lines()
                .filter(line -> line.startsWith("run = \""))
                .findFirst()
                .orElseThrow()
                .replaceAll("^run = \"(.*)\"$", "$1");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
        builder.directory(root.toFile());
        builder.environment().put("BALANCER_CONFIG", folder.resolve("config.json").toString());
        builder.environment().put("TMPDIR", folder.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("sidecar.log").toFile()));
        process = builder.start();
        record.line("sidecar started");
        atExit = new Thread(process::destroyForcibly);
        Runtime.getRuntime().addShutdownHook(atExit);
    }

    /** Waits until the sidecar reports that it is ready; 30 s at most. */
    void awaitReady() throws Exception {
        for (int i = 0; i < 3000; i++) {
            if (!process.isAlive()) {
                throw new CaseCannotRun("the sidecar ended before it was ready");
            }
            if (isReady()) {
                record.line("sidecar is ready");
                return;
            }
            Thread.sleep(10);
        }
        throw new CaseCannotRun("the sidecar was not ready within 30 s");
    }

    private boolean isReady() {
        try (Socket socket = connect()) {
            socket.setSoTimeout(1000);
            socket.getOutputStream()
                    .write("GET /health/ready HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 10_000);
        return socket;
    }

    void signal(String name) throws Exception {
        record.line("signal " + name);
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .inheritIO()
                .start()
                .waitFor(5, TimeUnit.SECONDS);
    }

    /** Kills the process and adds its log to the record. A process that has ended by itself gives no result. */
    void end() throws Exception {
        // The sockets of a process that ends are closed a moment before its end is seen.
        boolean endedByItself = process.waitFor(500, TimeUnit.MILLISECONDS);
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
        Runtime.getRuntime().removeShutdownHook(atExit);
        for (String line : Files.readAllLines(folder.resolve("sidecar.log"))) {
            record.line("log: " + line);
        }
        if (endedByItself) {
            throw new CaseCannotRun("the sidecar had ended by itself");
        }
    }

    /** The settings of a small deployment: those that the page WIRE shows, for one sidecar. */
    static final String SETTINGS =
            """
            {"accounts":[{"name":"tender-office","quota_rps":201.0,"share":0.62},
             {"name":"works-dept","quota_rps":68.0,"share":0.21},{"name":"staff-academy","quota_rps":55.0,"share":0.17}],
             "azs":["kacyiru-dc"],"balancers":1,"clients":{"marks_retry":false},"counted_by":"request",
             "discovery":"pushed","extra":{"warm_keys":false},"family":"mesh","kinds":["full-3c","slow-3c"],"layer":0,
             "layers":["similarity-check"],
             "limits":{"cancelling":true,"conn_idle_us":10000000,"cpu_us_per_request":0.0,"cpu_us_per_s":80000,
              "dial_timeout_us":150000,"max_attempts":5,"max_open":20000,"max_retry_after_us":2000000,"max_streams":1,
              "peers":true,"probing":false,"retry_after":true,"second_copies":true},
             "load_info":{"fields":[],"how":"off"},"me":0,"over_share_worth":0.2,"period_us":5000,
             "profiles":[
              {"give_up_us":1200000,"group":"cell","importance":10.0,"late_worth":0.2,"name":"submit-check",
               "objective_us":300000,"semantics":"keyed","stream":false,"window_us":6000000},
              {"give_up_us":2500000,"group":"all","importance":2.0,"late_worth":0.25,"name":"issue-report",
               "objective_us":600000,"semantics":"unsafe","stream":false,"window_us":5000000}],
             "rules":{"answer_slack_us":20000,"ask_every_us":10000000,"cold_share":0.13,"drain_grace_us":250000,
              "fall_multiple":3.0,"fall_us":2000000,"ramp_time_us":22000000},
             "tariffs":{"connection":0.0,"cross_zone":0.0,"discovery":0.0,"handshake":0.02,"late_fail":0.077,
              "moves":0.0,"origin":0.0,"peer":0.04,"probe":0.0,"waste":0.04},
             "weights":"rough","zone":"kacyiru-dc"}
            """;
}
