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
import loadbalancer.decision.LoadBalancerActions;
import loadbalancer.decision.Request;
import loadbalancer.proxy.configuration.ConfigurationException;
import loadbalancer.proxy.configuration.SidecarConfiguration;
import loadbalancer.proxy.configuration.SidecarConfigurationReader;
import loadbalancer.proxy.discovery.DiscoveryWatch;
import loadbalancer.proxy.discovery.ExponentialBackoff;
import loadbalancer.proxy.discovery.WatchTimeouts;
import loadbalancer.proxy.eventloop.MonotonicClock;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import loadbalancer.proxy.lifecycle.Sidecar;

/**
 * A real sidecar in this process, on ephemeral loopback ports, with stub servers as its endpoints and discovery. Its
 * load balancer is scripted by the test and records each of its calls as a line in {@link #events}. Fields are to be
 * set before {@link #start}, except {@link #onRequest}, {@link #onOutcome} and {@link #settings}.
 */
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

    private static final String WAIT_PARAMETER = "&wait=";

    /** What the load balancer does with a request; called on the event loop. */
    public interface RequestHandler {
        void handle(long now, Request request, LoadBalancerActions out);
    }

    /** What the load balancer does with the result of an attempt; called on the event loop. */
    public interface OutcomeHandler {
        void handle(String requestId, AttemptOutcome outcome, boolean done, LoadBalancerActions out);
    }

    /** One line for each call of the load balancer: its kind, the identifier and the values that tests look at. */
    public final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    /** The endpoints of the list that the sidecar starts with, with the identifiers {@code u0}, {@code u1}, ... */
    public final List<StubServer> endpointServers = new ArrayList<>();

    public final StubServer discovery;
    public volatile RequestHandler onRequest = (now, request, out) -> out.sendAttempt(request.id(), "u0", 0);
    public volatile OutcomeHandler onOutcome = (id, outcome, done, out) -> {
        if (!done) {
            out.fail(id);
        }
    };
    public Sidecar sidecar;
    /** Fields of the configuration file for gossip, each with a comma behind it. */
    public String gossipFields = "";

    public String settings = SETTINGS;
    /** Whether the load balancer polls discovery at the start and after each failed call. */
    public boolean pollsEndpoints = true;

    public int descriptorLimit = 1024;
    public WatchTimeouts watchTimeouts = WatchTimeouts.DEFAULT;
    public ExponentialBackoff backoff = DiscoveryWatch.defaultBackoff();
    /**
     * Where set, the sidecar is not ready until its warm-up is completed, and runs this with each request until then.
     */
    public Runnable warmUpInterrupt;

    public final ReadTrackingEventLoop eventLoop = new ReadTrackingEventLoop(new MonotonicClock());

    public SidecarFixture(StubServer.Script discoveryScript) throws IOException {
        discovery = new StubServer(discoveryScript);
    }

    /**
     * Discovery where nothing changes: a watch is answered with an empty delta when its wait has passed, a request for
     * the full list not at all.
     */
    public SidecarFixture() throws IOException {
        this((request, connection) -> {
            String path = request.path();
            int waitParameter = path.indexOf(WAIT_PARAMETER);
            if (waitParameter >= 0) {
                StubServer.sleep(Long.parseLong(path.substring(waitParameter + WAIT_PARAMETER.length())));
                connection.respond("200 OK", "", list(41, false));
            }
        });
    }

    /** Adds an endpoint to the list that the sidecar starts with. */
    public StubServer upstream(StubServer.Script script) throws IOException {
        StubServer server = new StubServer(script);
        endpointServers.add(server);
        return server;
    }

    /** One entry of an endpoint list, in the form of discovery. */
    public static String entry(String id, String address, String lifecycle, long startedAtMillis) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + address + "\",\"zone\":\"za\",\"machineType\":\"k\","
                + "\"cell\":1,\"lifecycle\":\"" + lifecycle + "\",\"weight\":1.0,\"startedAtMs\":" + startedAtMillis
                + "}";
    }

    /** An endpoint list in the form of discovery: a full one where {@code reset}, else a delta. */
    public static String list(long generation, boolean reset, String... entries) {
        return "{\"generation\":" + generation + ",\"reset\":" + reset + ",\"instances\":[" + String.join(",", entries)
                + "]}";
    }

    private String initialEndpointList() {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < endpointServers.size(); i++) {
            entries.add(entry("u" + i, endpointServers.get(i).address(), "Ready", 0));
        }
        return list(41, true, entries.toArray(String[]::new));
    }

    private interface ConfigurationSource {
        SidecarConfiguration read(Map<String, String> environment) throws ConfigurationException;
    }

    private static SidecarConfiguration read(String json, ConfigurationSource source)
            throws IOException, ConfigurationException {
        Path file = Files.createTempFile("config", ".json");
        try {
            Files.writeString(file, json);
            return source.read(Map.of("BALANCER_CONFIG", file.toString()));
        } finally {
            Files.delete(file);
        }
    }

    public static SidecarConfiguration config(String json) throws IOException, ConfigurationException {
        return read(json, SidecarConfigurationReader::read);
    }

    private String configuration(String discoveryAddress) {
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discoveryAddress
                + "\",\"seed\":\"8c1f30d27a5be964\"," + gossipFields + "\"known\":" + initialEndpointList()
                + ",\"limits\":{\"sockets\":" + descriptorLimit + "},\"settings\":" + settings + "}";
    }

    /** Reloads the configuration, as on SIGHUP, with this discovery address and the current {@link #settings}. */
    public void reload(String discoveryAddress) throws Exception {
        sidecar.applyConfiguration(read(
                configuration(discoveryAddress),
                environment -> SidecarConfigurationReader.reload(environment, sidecar.settings())));
    }

    public SidecarFixture start() throws Exception {
        SidecarConfiguration config = config(configuration(discovery.address()));
        sidecar = new Sidecar(
                config,
                (configuration, now, actions) -> new RecordingLoadBalancer(this, actions),
                eventLoop,
                watchTimeouts,
                backoff);
        if (warmUpInterrupt != null) {
            sidecar.delayReadinessForWarmUp(warmUpInterrupt);
        }
        sidecar.start();
        return this;
    }

    public InetSocketAddress address() {
        return sidecar.listenAddress();
    }

    public StubServer.Client client() throws IOException {
        return new StubServer.Client(address());
    }

    /** An idempotent request of class {@code c}. */
    public static String get(String id, long remainingMillis) {
        return "GET /api/slots?day=1 HTTP/1.1\r\nHost: a\r\nX-Txn: " + id + "\r\nX-Lane: c\r\nX-Remaining-Ms: "
                + remainingMillis + "\r\n\r\n";
    }

    /** Removes events up to the first that begins with {@code prefix} and returns it; fails after 20 s. */
    public String await(String prefix) throws InterruptedException {
        for (String event; (event = events.poll(20, TimeUnit.SECONDS)) != null; ) {
            if (event.startsWith(prefix)) {
                return event;
            }
        }
        throw new AssertionError("no event begins with '" + prefix + "'");
    }

    /** The remaining time that a {@code request} event names. */
    public static long remainingMicros(String requestEvent) {
        return Long.parseLong(requestEvent.split(" ")[2]);
    }

    @Override
    public void close() throws Exception {
        if (sidecar != null) {
            sidecar.shutDownNow();
        }
        discovery.close();
        for (StubServer server : endpointServers) {
            server.close();
        }
    }
}
