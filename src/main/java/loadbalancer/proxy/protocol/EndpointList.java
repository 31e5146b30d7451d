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
 * An endpoint list in the form of discovery and of the configuration file.
 *
 * @param fullSnapshot true where every endpoint is listed, false for a delta, which lists those that changed
 */
public record EndpointList(long generation, boolean fullSnapshot, List<Entry> entries) {
    private static final int NO_CELL = -1;
    private static final double DEFAULT_WEIGHT = 1;
    private static final long MICROS_PER_MILLI = 1_000;

    /** One endpoint and the address that it listens on. */
    public record Entry(Endpoint endpoint, InetSocketAddress address) {}

    /**
     * Reads a list from its text.
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
     * Reads a list that stands inside another object.
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
        // Start times are Unix times on the wire and in the decision module alike; only the unit differs.
        return new Endpoint(
                instance.text("instanceId"),
                instance.textOr("zone", ""),
                instance.textOr("machineType", ""),
                (int) instance.numberOr("cell", NO_CELL),
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
     * Reads an address of numbers, {@code host:port}. Names are not resolved, as a look-up would block.
     *
     * @throws IllegalArgumentException where the text is no such address
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
