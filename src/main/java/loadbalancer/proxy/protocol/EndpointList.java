package loadbalancer.proxy.protocol;

import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.decision.Endpoint;
import loadbalancer.decision.EndpointState;

/** A list of upstreams, or of changes, in discovery's form. */
public record EndpointList(long generation, boolean whole, List<Entry> entries) {

    /** One endpoint and the address that it listens on. */
    public record Entry(Endpoint upstream, InetSocketAddress address) {}

    /** Module time runs on from Unix time, so a start needs no more than its unit changed. */
    public static EndpointList parse(JsonObject json) {
        List<Entry> entries = new ArrayList<>();
        for (JsonObject e : json.objects("instances")) {
            EndpointState state =
                    switch (e.text("lifecycle")) {
                        case "Ready" -> EndpointState.READY;
                        case "Terminating" -> EndpointState.DRAINING;
                        case "Gone" -> EndpointState.REMOVED;
                        default -> throw new IllegalArgumentException(
                                "lifecycle '" + e.text("lifecycle") + "' is unknown");
                    };
            entries.add(new Entry(
                    new Endpoint(
                            e.text("instanceId"),
                            e.textOr("zone", ""),
                            e.textOr("machineType", ""),
                            (int) e.numberOr("cell", -1),
                            e.numberOr("startedAtMs", 0) * 1000,
                            e.realOr("weight", 1),
                            state),
                    parseAddress(e.text("hostPort"))));
        }
        return new EndpointList(json.number("generation"), json.flag("reset"), entries);
    }

    /** An address in numbers: there is no DNS, and nothing here may block on a look-up. */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        byte[] host = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        if (host == null) {
            throw new IllegalArgumentException("no address: '" + text + "'");
        }
        try {
            return new InetSocketAddress(
                    java.net.InetAddress.getByAddress(host), Integer.parseInt(text.substring(colon + 1)));
        } catch (java.net.UnknownHostException | NumberFormatException e) {
            throw new IllegalArgumentException("no address: '" + text + "'");
        }
    }
}
