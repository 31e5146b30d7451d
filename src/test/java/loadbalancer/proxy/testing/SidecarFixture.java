package loadbalancer.proxy.testing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.decision.AttemptOutcome;
import loadbalancer.decision.AttemptResult;
import loadbalancer.decision.Endpoint;
import loadbalancer.decision.EndpointListType;
import loadbalancer.decision.LoadBalancer;
import loadbalancer.decision.LoadBalancerActions;
import loadbalancer.decision.LoadReport;
import loadbalancer.decision.Request;
import loadbalancer.proxy.configuration.ConfigurationException;
import loadbalancer.proxy.configuration.SidecarConfiguration;
import loadbalancer.proxy.discovery.DiscoveryWatch;
import loadbalancer.proxy.discovery.ExponentialBackoff;
import loadbalancer.proxy.discovery.WatchTimeouts;
import loadbalancer.proxy.eventloop.MonotonicClock;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import loadbalancer.proxy.lifecycle.Sidecar;
import loadbalancer.settings.LoadBalancerSettings;
import loadbalancer.settings.RequestClass;

/** A sidecar in this process, with a module that does what the test says and writes down what it is told. */
public final class SidecarFixture implements AutoCloseable {
    public static final String SETTINGS =
            """
            {"me":0,"balancers":2,"zone":"za","azs":["za"],"kinds":["k"],"discovery":"on_request",
             "profiles":[{"name":"c","semantics":"safe","objective_us":300000,"give_up_us":60000000},
                         {"name":"k","semantics":"keyed","group":"all","window_us":4000000,"objective_us":300000,
                          "give_up_us":60000000}],
             "rules":{"drain_grace_us":500000,"cold_share":0.2,"ramp_time_us":9000000,"fall_multiple":3,
                      "fall_us":1000000,"ask_every_us":10000000},
             "limits":{"max_attempts":4,"dial_timeout_us":2000000,"conn_idle_us":15000000,"retry_after":true,
                       "max_retry_after_us":1000000,"peers":true,"probing":true,"cancelling":true},
             "load_info":{"how":"inline","fields":["busy_reqs","pending","cpu_share"]},
             "something_new":{"a":[{"b":null}]}}""";

    /** What the module does with a request. */
    public interface OnRequest {
        void take(long now, Request request, LoadBalancerActions out);
    }

    /** What the module does when an attempt has ended without success. */
    public interface OnOutcome {
        void take(String request, AttemptOutcome outcome, boolean done, LoadBalancerActions out);
    }

    public final BlockingQueue<String> told = new LinkedBlockingQueue<>();
    public final List<StubServer> peers = new ArrayList<>();
    public final StubServer discovery;
    public volatile OnRequest onRequest = (now, r, out) -> out.sendAttempt(r.id(), "u0", 0);
    public volatile OnOutcome onOutcome = (id, outcome, done, out) -> {
        if (!done) {
            out.fail(id);
        }
    };
    public Sidecar sidecar;
    public String peerFields = "";
    public String settings = SETTINGS;
    /** Whether the module asks for a watch. */
    public boolean asks = true;

    public int sockets = 1024;
    public WatchTimeouts patience = WatchTimeouts.DEFAULT;
    public ExponentialBackoff backoff = DiscoveryWatch.defaultBackoff();
    private volatile LoadBalancerActions actions;
    public final ReadTrackingEventLoop reads = new ReadTrackingEventLoop(new MonotonicClock());

    public SidecarFixture(StubServer.Script discovers) throws IOException {
        discovery = new StubServer(discovers);
    }

    /** Discovery where nothing changes: every watch that may wait is kept waiting. */
    public SidecarFixture() throws IOException {
        this((m, line) -> {
            if (m.path().endsWith("&wait=0")) {
                line.answer("200 OK", "", list(41, false));
            }
        });
    }

    public StubServer upstream(StubServer.Script script) throws IOException {
        StubServer p = new StubServer(script);
        peers.add(p);
        return p;
    }

    public static String entry(String id, String address, String lifecycle, long startedAtMs) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + address + "\",\"zone\":\"za\",\"machineType\":\"k\","
                + "\"cell\":1,\"lifecycle\":\"" + lifecycle + "\",\"weight\":1.0,\"startedAtMs\":" + startedAtMs + "}";
    }

    public static String list(long generation, boolean whole, String... entries) {
        return "{\"generation\":" + generation + ",\"reset\":" + whole + ",\"instances\":[" + String.join(",", entries)
                + "]}";
    }

    public String known() {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < peers.size(); i++) {
            entries.add(entry("u" + i, peers.get(i).address(), "Ready", 0));
        }
        return list(41, true, entries.toArray(String[]::new));
    }

    private interface Reading {
        SidecarConfiguration from(Map<String, String> environment) throws ConfigurationException;
    }

    private static SidecarConfiguration read(String json, Reading reading) throws IOException, ConfigurationException {
        Path file = Files.createTempFile("config", ".json");
        try {
            Files.writeString(file, json);
            return reading.from(Map.of("BALANCER_CONFIG", file.toString()));
        } finally {
            Files.delete(file);
        }
    }

    public static SidecarConfiguration config(String json) throws IOException, ConfigurationException {
        return read(json, SidecarConfiguration::read);
    }

    private String json(String discoveryAddress) {
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discoveryAddress
                + "\",\"seed\":\"8c1f30d27a5be964\"," + peerFields + "\"known\":" + known()
                + ",\"limits\":{\"sockets\":" + sockets + "},\"settings\":" + settings + "}";
    }

    /** As on SIGHUP, with a file that names this discovery and has the settings that the rig has now. */
    public void reload(String discoveryAddress) throws Exception {
        sidecar.reconfigure(read(
                json(discoveryAddress), environment -> SidecarConfiguration.reload(environment, sidecar.settings())));
    }

    /** Set before the start: the sidecar is not ready, and this runs with each request that it takes all the same. */
    public Runnable rehearsal;

    public SidecarFixture start() throws Exception {
        SidecarConfiguration config = config(json(discovery.address()));
        sidecar = new Sidecar(
                config,
                (c, now, out) -> {
                    actions = out;
                    return new Recorder();
                },
                reads,
                patience,
                backoff);
        if (rehearsal != null) {
            sidecar.notReadyBefore(rehearsal);
        }
        sidecar.start();
        return this;
    }

    public InetSocketAddress address() {
        return sidecar.listening();
    }

    public StubServer.Client client() throws IOException {
        return new StubServer.Client(address());
    }

    public static String get(String id, long remainingMs) {
        return "GET /api/slots?day=1 HTTP/1.1\r\nHost: a\r\nX-Txn: " + id + "\r\nX-Lane: c\r\nX-Remaining-Ms: "
                + remainingMs + "\r\n\r\n";
    }

    /** Waits until the module was told something that starts so. */
    public String await(String start) throws InterruptedException {
        for (String line; (line = told.poll(20, TimeUnit.SECONDS)) != null; ) {
            if (line.startsWith(start)) {
                return line;
            }
        }
        throw new AssertionError("the module was never told '" + start + "'");
    }

    @Override
    public void close() throws Exception {
        if (sidecar != null) {
            sidecar.end();
        }
        discovery.close();
        for (StubServer p : peers) {
            p.close();
        }
    }

    private final class Recorder implements LoadBalancer {
        @Override
        public void onEndpointList(long now, EndpointListType kind, List<Endpoint> entries) {
            told.add("list " + kind + " "
                    + String.join(
                            ",",
                            entries.stream().map(u -> u.id() + "=" + u.state()).toList()));
            if (asks && (kind == EndpointListType.CACHED || kind == EndpointListType.FAILED)) {
                actions.pollEndpoints();
            }
        }

        @Override
        public void onSettings(long now, LoadBalancerSettings settings) {
            told.add("settings "
                    + String.join(
                            ",",
                            settings.requestClasses().stream()
                                    .map(RequestClass::name)
                                    .toList()));
        }

        @Override
        public void onRequest(long now, Request request) {
            told.add("request " + request.id() + " " + request.remainingMicros());
            onRequest.take(now, request, actions);
        }

        @Override
        public void onAttemptOutcome(long now, AttemptResult result) {
            LoadReport report = result.loadReport();
            told.add("outcome " + result.requestId() + " " + result.attempt() + " " + result.outcome() + " "
                    + result.requestDone() + " " + (report == null ? "-" : report.inFlight()));
            onOutcome.take(result.requestId(), result.outcome(), result.requestDone(), actions);
        }

        @Override
        public void onStreamStart(long now, String request, int attempt, String upstream, long latencyUs) {}

        @Override
        public void onHealthCheck(
                long now, String upstream, AttemptOutcome outcome, long latencyUs, LoadReport report) {
            told.add("probe " + upstream + " " + outcome + " " + (report == null ? "-" : report.inFlight()));
        }

        @Override
        public void onRequestExpired(long now, String request) {
            told.add("expired " + request);
        }

        @Override
        public void onGossip(long now, int peer, byte[] message) {
            told.add("peer " + peer + " " + message.length);
        }

        @Override
        public void onTimer(long now, String mark) {
            told.add("timer " + mark);
            if (mark.equals("break")) {
                throw new IllegalStateException("as the test wants");
            }
        }
    }
}
