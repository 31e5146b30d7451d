package loadbalancer.proxy.protocol;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.decision.Endpoint;
import loadbalancer.decision.EndpointState;

/**
 * An endpoint list. Discovery sends it as JSON, and the configuration file contains one in the same form.
 *
 * @param generation the version of the list, which increases with each change
 * @param fullSnapshot true if the list contains every endpoint; false for a delta, which contains only the endpoints
 *     that changed
 */
public record EndpointList(long generation, boolean fullSnapshot, List<Entry> entries) {
    private static final double DEFAULT_WEIGHT = 1;
    private static final long MICROS_PER_MILLI = 1_000;

    /** An endpoint and the address on which it listens; the address is null if the endpoint is removed. */
    public record Entry(Endpoint endpoint, InetSocketAddress address) {}

    /**
     * Reads an endpoint list from JSON text in UTF-8.
     *
     * @throws MalformedEndpointListException if the text is not an endpoint list
     */
    public static EndpointList parse(byte[] text) {
        try {
            return readList(JsonObject.parse(text));
        } catch (IllegalArgumentException e) {
            throw new MalformedEndpointListException(e);
        }
    }

    /**
     * Reads an endpoint list from a JSON object.
     *
     * @throws MalformedEndpointListException if the object is not an endpoint list
     */
    public static EndpointList parse(JsonObject json) {
        try {
            return readList(json);
        } catch (IllegalArgumentException e) {
            throw new MalformedEndpointListException(e);
        }
    }

    private static EndpointList readList(JsonObject json) {
        List<Entry> entries = new ArrayList<>();
        for (JsonObject entry : json.objects("instances")) {
            entries.add(readEntry(entry));
        }
        return new EndpointList(json.integer("generation"), json.flag("reset"), entries);
    }

    private static Entry readEntry(JsonObject entry) {
        Endpoint endpoint = readEndpoint(entry);
        boolean removed = endpoint.state() == EndpointState.REMOVED;
        return new Entry(endpoint, removed ? null : parseAddress(entry.string("hostPort")));
    }

    private static Endpoint readEndpoint(JsonObject entry) {
        // Start times are Unix times, in milliseconds on the wire and in microseconds here.
        return new Endpoint(
                entry.string("instanceId"),
                entry.stringOr("zone", ""),
                entry.stringOr("machineType", ""),
                (int) entry.integerOr("cell", Endpoint.NO_CELL),
                entry.integerOr("startedAtMs", 0) * MICROS_PER_MILLI,
                entry.decimalOr("weight", DEFAULT_WEIGHT),
                parseState(entry.string("lifecycle")));
    }

    private static EndpointState parseState(String lifecycle) {
        return switch (lifecycle) {
            case "Ready" -> EndpointState.READY;
            case "Terminating" -> EndpointState.DRAINING;
            case "Gone" -> EndpointState.REMOVED;
            default -> throw new IllegalArgumentException(
                    "field 'lifecycle' is '" + lifecycle + "'; expected Ready, Terminating or Gone");
        };
    }

    /**
     * Reads a numeric address, {@code host:port}. Host names are not resolved, because a lookup would block.
     *
     * @throws IllegalArgumentException if the text is not a numeric address with a port
     */
    public static InetSocketAddress parseAddress(String text) {
        int colonIndex = text.lastIndexOf(':');
        byte[] host = colonIndex < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colonIndex));
        if (host == null) {
            throw new IllegalArgumentException("expected a numeric address host:port, found '" + text + "'");
        }
        try {
            return new InetSocketAddress(
                    InetAddress.getByAddress(host), Integer.parseInt(text.substring(colonIndex + 1)));
        } catch (UnknownHostException | NumberFormatException e) {
            throw new IllegalArgumentException("expected a numeric address host:port, found '" + text + "'", e);
        }
    }

    /**
     * Returns the full list that results if {@code newer} is applied to this full list: {@code newer} itself if it is a
     * full snapshot. The order of the endpoints that both contain is that of this list.
     */
    public EndpointList updatedBy(EndpointList newer) {
        if (newer.fullSnapshot()) {
            return newer;
        }
        Map<String, Entry> entriesById = new LinkedHashMap<>();
        entries.forEach(entry -> entriesById.put(entry.endpoint().id(), entry));
        newer.entries().forEach(entry -> entriesById.put(entry.endpoint().id(), entry));
        entriesById.values().removeIf(entry -> entry.endpoint().state() == EndpointState.REMOVED);
        return new EndpointList(newer.generation(), true, List.copyOf(entriesById.values()));
    }

    /** Returns the ids of the endpoints. */
    public Set<String> ids() {
        Set<String> ids = new HashSet<>();
        for (Entry entry : entries) {
            ids.add(entry.endpoint().id());
        }
        return ids;
    }

    /** Returns the endpoints without their addresses, in the order of the list. */
    public List<Endpoint> endpoints() {
        return entries.stream().map(Entry::endpoint).toList();
    }
}
