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
 * load balancer takes the actions that the callbacks of the test decide on, {@link #onRequest} and {@link #onOutcome},
 * and records the calls to it as lines in {@link #events}. A test sets the fields before it calls {@link #start}; only
 * the two callbacks and {@link #settingsJson} may change later.
 */
public final class SidecarFixture implements AutoCloseable {
    public static final String SETTINGS_JSON =
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

    /** Decides which actions the load balancer takes on a new request; called on the event loop. */
    public interface RequestCallback {
        void handle(long nowMicros, Request request, LoadBalancerActions actions);
    }

    /** Decides which actions the load balancer takes on the outcome of an attempt; called on the event loop. */
    public interface OutcomeCallback {
        void handle(String requestId, AttemptOutcome outcome, boolean requestFinished, LoadBalancerActions actions);
    }

    /**
     * One line for each call to the load balancer, in the order of the calls: the kind of the call, then the id and the
     * values that tests check, separated by spaces. {@link RecordingLoadBalancer} defines the lines.
     */
    public final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    /** The endpoints of the list that the sidecar starts with. Their ids are {@code u0}, {@code u1} and so on. */
    public final List<StubServer> endpointServers = new ArrayList<>();

    public final StubServer discovery;
    /** By default, sends each request to the endpoint {@code u0}. */
    public volatile RequestCallback onRequest =
            (nowMicros, request, actions) -> actions.sendAttempt(request.id(), "u0", 0);
    /** By default, fails a request whose attempt did not complete it. */
    public volatile OutcomeCallback onOutcome = (requestId, outcome, requestFinished, actions) -> {
        if (!requestFinished) {
            actions.fail(requestId);
        }
    };

    public Sidecar sidecar;
    /** Fields of the configuration file for gossip, each followed by a comma. */
    public String gossipFields = "";

    public String settingsJson = SETTINGS_JSON;
    /** Whether the load balancer polls discovery at the start and after each failed call. */
    public boolean pollsEndpoints = true;

    public int descriptorLimit = 1024;
    public WatchTimeouts watchTimeouts = WatchTimeouts.DEFAULT;
    public ExponentialBackoff backoff = DiscoveryWatch.defaultBackoff();
    /**
     * Runs on the event loop for each request until the warm-up is completed; the sidecar is not ready until then. Null
     * starts the sidecar without a warm-up.
     */
    public Runnable onRequestDuringWarmUp;

    public final ReadTrackingEventLoop eventLoop = new ReadTrackingEventLoop(new MonotonicClock());

    public SidecarFixture(StubServer.RequestHandler discoveryHandler) throws IOException {
        discovery = new StubServer(discoveryHandler);
    }

    /**
     * Creates a fixture whose discovery reports no changes: it answers a watch with an empty delta after the wait that
     * the request states, and does not answer a request for a full snapshot.
     */
    public SidecarFixture() throws IOException {
        this((request, connection) -> {
            String path = request.path();
            int waitParameter = path.indexOf(WAIT_PARAMETER);
            if (waitParameter >= 0) {
                StubServer.sleep(Long.parseLong(path.substring(waitParameter + WAIT_PARAMETER.length())));
                connection.respond("200 OK", "", endpointListJson(41, false));
            }
        });
    }

    /** Starts an endpoint and adds it to the list that the sidecar starts with. */
    public StubServer addEndpoint(StubServer.RequestHandler handler) throws IOException {
        StubServer server = new StubServer(handler);
        endpointServers.add(server);
        return server;
    }

    /** Returns one entry of an endpoint list as JSON in the format of discovery. */
    public static String endpointJson(String id, String address, String lifecycle, long startedAtMillis) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + address + "\",\"zone\":\"za\",\"machineType\":\"k\","
                + "\"cell\":1,\"lifecycle\":\"" + lifecycle + "\",\"weight\":1.0,\"startedAtMs\":" + startedAtMillis
                + "}";
    }

    /** Returns an endpoint list, either a full snapshot or a delta, as JSON in the format of discovery. */
    public static String endpointListJson(long generation, boolean fullSnapshot, String... entries) {
        return "{\"generation\":" + generation + ",\"reset\":" + fullSnapshot + ",\"instances\":["
                + String.join(",", entries) + "]}";
    }

    private String initialEndpointListJson() {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < endpointServers.size(); i++) {
            entries.add(endpointJson("u" + i, endpointServers.get(i).address(), "Ready", 0));
        }
        return endpointListJson(41, true, entries.toArray(String[]::new));
    }

    private interface ConfigurationSource {
        SidecarConfiguration read(Map<String, String> environment) throws ConfigurationException;
    }

    private static SidecarConfiguration readFromFile(String json, ConfigurationSource source)
            throws IOException, ConfigurationException {
        Path file = Files.createTempFile("config", ".json");
        try {
            Files.writeString(file, json);
            return source.read(Map.of("BALANCER_CONFIG", file.toString()));
        } finally {
            Files.delete(file);
        }
    }

    /** Writes the text to a configuration file and reads it in the same way as at the start of the sidecar. */
    public static SidecarConfiguration parseConfiguration(String json) throws IOException, ConfigurationException {
        return readFromFile(json, SidecarConfigurationReader::read);
    }

    private String configurationJson(String discoveryAddress) {
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discoveryAddress
                + "\",\"seed\":\"8c1f30d27a5be964\"," + gossipFields + "\"known\":" + initialEndpointListJson()
                + ",\"limits\":{\"sockets\":" + descriptorLimit + "},\"settings\":" + settingsJson + "}";
    }

    /** Reloads the configuration as on SIGHUP, with the given discovery address and {@link #settingsJson}. */
    public void reload(String discoveryAddress) throws Exception {
        sidecar.applyConfiguration(readFromFile(
                configurationJson(discoveryAddress),
                environment -> SidecarConfigurationReader.reload(environment, sidecar.settings())));
    }

    public SidecarFixture start() throws Exception {
        SidecarConfiguration config = parseConfiguration(configurationJson(discovery.address()));
        sidecar = new Sidecar(
                config,
                (configuration, nowMicros, actions) -> new RecordingLoadBalancer(this, actions),
                eventLoop,
                watchTimeouts,
                backoff);
        if (onRequestDuringWarmUp != null) {
            sidecar.delayReadinessForWarmUp(onRequestDuringWarmUp);
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

    /** Returns the bytes of an idempotent request (GET) of class {@code c} as text. */
    public static String idempotentRequest(String id, long remainingMillis) {
        return "GET /api/slots?day=1 HTTP/1.1\r\nHost: a\r\nX-Txn: " + id + "\r\nX-Lane: c\r\nX-Remaining-Ms: "
                + remainingMillis + "\r\n\r\n";
    }

    /** Sends an idempotent request to a sidecar on a new connection and returns the status of the response. */
    public static int requestStatus(InetSocketAddress address, String id, long remainingMillis) throws IOException {
        try (StubServer.Client client = new StubServer.Client(address)) {
            return client.send(idempotentRequest(id, remainingMillis)).readStatus();
        }
    }

    /** Asks a sidecar whether it is ready and returns the status of the response. */
    public static int readinessStatus(InetSocketAddress address) throws IOException {
        try (StubServer.Client client = new StubServer.Client(address)) {
            return client.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n").readStatus();
        }
    }

    /**
     * Waits for the next event that begins with {@code prefix} and returns it. Removes it and all events before it.
     * Fails if no event arrives for 20 s.
     */
    public String awaitEvent(String prefix) throws InterruptedException {
        for (String event; (event = events.poll(20, TimeUnit.SECONDS)) != null; ) {
            if (event.startsWith(prefix)) {
                return event;
            }
        }
        throw new AssertionError("no event begins with '" + prefix + "'");
    }

    /** Returns the remaining time in a {@code request} event. */
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
