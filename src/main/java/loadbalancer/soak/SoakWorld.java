package loadbalancer.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.StringJoiner;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import loadbalancer.soak.History.ListedState;
import loadbalancer.soak.History.ProcessEventType;
import org.HdrHistogram.Histogram;

/**
 * The sidecars of one run and the stand-ins around them. The stand-ins belong to the event loop; what changes processes
 * is called on the threads that carry out faults.
 */
final class SoakWorld {
    private static final long MAX_LATENCY_MICROS = 60_000_000;
    private static final int LATENCY_DIGITS = 3;
    private static final long OLD_DISCOVERY_OPEN_MICROS = 1_500_000;
    /** For how long clients go on to connect after a sidecar was told to end. */
    private static final long CONNECTING_AFTER_TERMINATION_MICROS = 350_000;

    private static final long MAX_LISTING_LAG_MICROS = 400_000;

    private final SoakContext context;
    private final List<EndpointStandIn> endpoints = new ArrayList<>();
    private final List<DiscoveryAgent> agents = new ArrayList<>();
    private final List<ClientStandIn> clients = new ArrayList<>();
    private final List<SidecarUnderTest> sidecars = new ArrayList<>();
    /** The address of each sidecar, on which it listens for clients and for gossip. */
    private final List<String> hosts = new ArrayList<>();

    private final EndpointRegistry registry;
    private final Histogram latencyMicros = new Histogram(MAX_LATENCY_MICROS, LATENCY_DIGITS);
    private final AtomicInteger processCount = new AtomicInteger();
    /** The index of the link on which each sidecar reaches its agent. */
    private final AtomicIntegerArray discoveryLinks;
    /** 1 for a sidecar that is ready and has not been told to end. */
    private final AtomicIntegerArray ready;
    /** Until when clients may open connections to each sidecar. */
    private final AtomicLongArray connectUntilMicros;

    private volatile long wallClockStepMillis;

    /** Opens all listeners; starts no process. Blocks, so it must not be called on the event loop. */
    SoakWorld(SoakContext context, Path folder, FaultShim shim) throws IOException, InterruptedException {
        this.context = context;
        SoakSettings settings = context.settings();
        discoveryLinks = new AtomicIntegerArray(settings.sidecarCount());
        ready = new AtomicIntegerArray(settings.sidecarCount());
        connectUntilMicros = new AtomicLongArray(settings.sidecarCount());
        for (int sidecar = 0; sidecar < settings.sidecarCount(); sidecar++) {
            sidecars.add(new SidecarUnderTest(sidecar, context, folder, shim));
            hosts.add(LoopbackAddresses.newHost());
        }
        List<EndpointRegistry.Entry> entries = new ArrayList<>();
        for (int i = 0; i < settings.endpointCount(); i++) {
            int cell = i % SoakSettings.CELL_COUNT;
            EndpointStandIn endpoint = new EndpointStandIn("e" + i, cell, context, this::processNumber);
            endpoints.add(endpoint);
            entries.add(new EndpointRegistry.Entry(endpoint, cell, ListedState.READY, 0, 0));
        }
        registry = new EndpointRegistry(entries);
        for (int sidecar = 0; sidecar < settings.sidecarCount(); sidecar++) {
            agents.add(new DiscoveryAgent(sidecar, context, registry, this::processNumber));
            clients.add(newClient(sidecar));
        }
        context.loop()
                .submit(() -> agents.forEach(agent -> agent.link(1).setRefusing(true)))
                .sync();
    }

    /** Returns the address on which a sidecar listens for clients. */
    InetSocketAddress clientAddress(int sidecar) {
        return LoopbackAddresses.socketAddress(hosts.get(sidecar));
    }

    private ClientStandIn newClient(int sidecar) {
        return new ClientStandIn(
                sidecar,
                context,
                clientAddress(sidecar),
                () -> processNumber(sidecar),
                () -> context.clock().nowMicros() <= connectUntilMicros.get(sidecar),
                latencyMicros);
    }

    private int processNumber(int sidecar) {
        return sidecars.get(sidecar).processNumber();
    }

    EndpointStandIn endpoint(int index) {
        return endpoints.get(index);
    }

    List<EndpointStandIn> endpoints() {
        return endpoints;
    }

    List<Integer> allEndpoints() {
        return IntStream.range(0, endpoints.size()).boxed().toList();
    }

    DiscoveryAgent agent(int sidecar) {
        return agents.get(sidecar);
    }

    List<DiscoveryAgent> agents() {
        return agents;
    }

    ClientStandIn client(int sidecar) {
        return clients.get(sidecar);
    }

    List<ClientStandIn> clients() {
        return clients;
    }

    SidecarUnderTest sidecar(int index) {
        return sidecars.get(index);
    }

    List<SidecarUnderTest> sidecars() {
        return sidecars;
    }

    Histogram latencyMicros() {
        return latencyMicros;
    }

    boolean isReady(int sidecar) {
        return ready.get(sidecar) == 1;
    }

    long wallClockStepMillis() {
        return wallClockStepMillis;
    }

    void addWallClockStep(long stepMillis) {
        wallClockStepMillis += stepMillis;
    }

    /** Starts a new process of a sidecar; its clients send once it is ready. */
    void start(int sidecar) throws IOException, InterruptedException {
        start(sidecar, configuration(sidecar));
    }

    /** Starts a new process of a sidecar with this configuration file; its clients send once it is ready. */
    void start(int sidecar, String configuration) throws IOException {
        SidecarUnderTest process = sidecars.get(sidecar);
        process.writeConfiguration(configuration);
        int number = processCount.incrementAndGet();
        process.start(number);
        if (process.control() != null) {
            process.control().setClockStepMillis(wallClockStepMillis);
        }
        ReadinessProbe.start(
                context,
                LoopbackAddresses.socketAddress(hosts.get(sidecar)),
                () -> process.processNumber() == number,
                () -> {
                    process.record(ProcessEventType.READY, 0);
                    ready.set(sidecar, 1);
                    connectUntilMicros.set(sidecar, Long.MAX_VALUE);
                    clients.get(sidecar).start();
                });
    }

    /**
     * Notes that a sidecar is about to be told to end. Its clients go on to send on open connections, and for a short
     * time to open others.
     */
    void expectRestart(int sidecar) {
        ready.set(sidecar, 0);
        connectUntilMicros.set(sidecar, context.clock().nowMicros() + CONNECTING_AFTER_TERMINATION_MICROS);
    }

    /** Opens the other address of a sidecar's agent, and closes the present one as the platform does. */
    void moveDiscovery(int sidecar) {
        int previous = discoveryLinks.get(sidecar);
        int next = 1 - previous;
        discoveryLinks.set(sidecar, next);
        Link previousLink = agents.get(sidecar).link(previous);
        context.loop().execute(() -> {
            agents.get(sidecar).link(next).setRefusing(false);
            previousLink.setRefusing(true);
        });
        context.loop()
                .schedule(
                        () -> {
                            if (discoveryLinks.get(sidecar) != previous) {
                                previousLink.closeConnections();
                            }
                        },
                        OLD_DISCOVERY_OPEN_MICROS,
                        TimeUnit.MICROSECONDS);
    }

    /** Returns the configuration file of a sidecar as it is now. Must not be called on the event loop. */
    String configuration(int sidecar) throws InterruptedException {
        String knownList = context.loop()
                .submit(() -> agents.get(sidecar).knownListJson())
                .sync()
                .getNow();
        StringJoiner peers = new StringJoiner("\",\"", "[\"", "\"]");
        hosts.forEach(host -> peers.add(LoopbackAddresses.text(host)));
        return ("{\"name\":\"n%d\",\"listen\":\"%s\",\"discovery\":\"%s\",\"seed\":\"%x\","
                        + "\"limits\":{\"sockets\":%d,\"memory_mb\":%d},"
                        + "\"peer_listen\":\"%s\",\"peers\":%s,\"known\":%s,\"settings\":%s}")
                .formatted(
                        sidecar,
                        LoopbackAddresses.text(hosts.get(sidecar)),
                        agents.get(sidecar).link(discoveryLinks.get(sidecar)).address(),
                        processCount.get() + 1,
                        SoakSettings.DESCRIPTOR_LIMIT,
                        SoakSettings.MEMORY_LIMIT_BYTES >> 20,
                        LoopbackAddresses.text(hosts.get(sidecar)),
                        peers,
                        knownList,
                        context.settings().json(sidecar));
    }

    EndpointRegistry.Entry entryWithState(EndpointRegistry.Entry entry, ListedState state) {
        return new EndpointRegistry.Entry(
                entry.endpoint(), entry.cell(), state, entry.startedUnixMillis(), entry.startedMicros());
    }

    /** Returns the entry of an endpoint that has restarted. */
    EndpointRegistry.Entry entryOfNewProcess(EndpointRegistry.Entry entry) {
        long startedMicros = entry.endpoint().startedMicros();
        long startedUnixMillis = context.clock().unixMillisAt(startedMicros);
        return new EndpointRegistry.Entry(
                entry.endpoint(), entry.cell(), ListedState.READY, startedUnixMillis, startedMicros);
    }

    /** Adds a version of the list. Each agent learns it a little later. Called on the event loop. */
    void publish(List<Integer> changed, UnaryOperator<EndpointRegistry.Entry> change) {
        List<EndpointRegistry.Entry> entries = new ArrayList<>();
        for (int index : changed) {
            String id = endpoints.get(index).id();
            entries.add(change.apply(registry.version(registry.generation()).get(id)));
        }
        registry.publish(entries);
        for (DiscoveryAgent agent : agents) {
            long lagMicros = context.random().nextLong(MAX_LISTING_LAG_MICROS);
            context.loop().schedule(agent::learn, lagMicros, TimeUnit.MICROSECONDS);
        }
    }

    /** Records what is still open and closes all stand-ins. Called on the event loop. */
    void close() {
        clients.forEach(ClientStandIn::close);
        endpoints.forEach(EndpointStandIn::close);
        agents.forEach(DiscoveryAgent::close);
    }
}
