package loadbalancer.proxy.protocol;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.decision.Endpoint;
import loadbalancer.decision.EndpointState;

/**
 * An endpoint list, as discovery sends it and the configuration file contains it.
 *
 * @param generation the version of the list, which grows with each change
 * @param fullSnapshot true if every endpoint is listed; false for a delta, which lists only those that changed
 */
public record EndpointList(long generation, boolean fullSnapshot, List<Entry> entries) {
    private static final double DEFAULT_WEIGHT = 1;
    private static final long MICROS_PER_MILLI = 1_000;

    /** An endpoint and the address that it listens on. */
    public record Entry(Endpoint endpoint, InetSocketAddress address) {}

    /**
     * Reads a list from JSON text in UTF-8.
     *
     * @throws MalformedEndpointListException where it is none
     */
    public static EndpointList parse(byte[] text) {
        try {
            return read(JsonObject.parse(text));
        } catch (IllegalArgumentException e) {
            throw new MalformedEndpointListException(e);
        }
    }

    /**
     * Reads a list from a JSON object.
     *
     * @throws MalformedEndpointListException where it is none
     */
    public static EndpointList parse(JsonObject json) {
        try {
            return read(json);
        } catch (IllegalArgumentException e) {
            throw new MalformedEndpointListException(e);
        }
    }

    private static EndpointList read(JsonObject json) {
        List<Entry> entries = new ArrayList<>();
        for (JsonObject instance : json.objects("instances")) {
            entries.add(new Entry(readEndpoint(instance), parseAddress(instance.text("hostPort"))));
        }
        return new EndpointList(json.number("generation"), json.flag("reset"), entries);
    }

    private static Endpoint readEndpoint(JsonObject instance) {
        // Start times are Unix times both on the wire and in the load balancer; only the unit differs.
        return new Endpoint(
                instance.text("instanceId"),
                instance.textOr("zone", ""),
                instance.textOr("machineType", ""),
                (int) instance.numberOr("cell", Endpoint.NO_CELL),
                instance.numberOr("startedAtMs", 0) * MICROS_PER_MILLI,
                instance.realOr("weight", DEFAULT_WEIGHT),
                parseState(instance.text("lifecycle")));
    }

    private static EndpointState parseState(String lifecycle) {
        return switch (lifecycle) {
            case "Ready" -> EndpointState.READY;
            case "Terminating" -> EndpointState.DRAINING;
            case "Gone" -> EndpointState.REMOVED;
            default -> throw new IllegalArgumentException("lifecycle '" + lifecycle + "' is unknown");
        };
    }

    /**
     * Reads a numeric address, {@code host:port}. Host names are not resolved, because a lookup would block.
     *
     * @throws IllegalArgumentException if the text is not such an address
     */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        byte[] host = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        if (host == null) {
            throw new IllegalArgumentException("no address: '" + text + "'");
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(host), Integer.parseInt(text.substring(colon + 1)));
        } catch (UnknownHostException | NumberFormatException e) {
            throw new IllegalArgumentException("no address: '" + text + "'", e);
        }
    }

    /** The endpoints without their addresses, in the order of the list. */
    public List<Endpoint> endpoints() {
        return entries.stream().map(Entry::endpoint).toList();
    }
}
