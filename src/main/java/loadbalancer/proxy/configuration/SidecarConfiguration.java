package loadbalancer.proxy.configuration;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import loadbalancer.input.InvalidSettingsException;
import loadbalancer.input.SettingsReader;
import loadbalancer.proxy.protocol.EndpointList;
import loadbalancer.proxy.protocol.JsonObject;
import loadbalancer.settings.LoadBalancerSettings;

/**
 * What a sidecar is told at its start. {@code peerListen} and {@code peersAll} are null where there are none;
 * {@code words} are those that the settings were read from.
 */
public record SidecarConfiguration(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        InetSocketAddress peersAll,
        EndpointList known,
        Map<String, String> words,
        LoadBalancerSettings settings) {

    /** The bounds that an operator compares with what a sidecar needs. */
    public String describeLimits() {
        return sockets + " descriptors, "
                + settings.requestClasses().stream()
                        .map(c -> c.name() + " wanted within " + c.latencyObjectiveMicros() / 1000 + " ms of "
                                + c.deadlineMicros() / 1000)
                        .collect(Collectors.joining(", "));
    }

    public static SidecarConfiguration read(Map<String, String> environment) throws ConfigurationException {
        String path = environment.get("BALANCER_CONFIG");
        if (path == null || path.isEmpty()) {
            throw new ConfigurationException("BALANCER_CONFIG is not set");
        }
        byte[] text;
        try {
            text = Files.readAllBytes(Path.of(path));
        } catch (IOException | InvalidPathException e) {
            throw new ConfigurationException("BALANCER_CONFIG can't be read: " + e);
        }
        try {
            return parse(JsonObject.parse(text), environment);
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException("configuration: " + e.getMessage());
        } catch (InvalidSettingsException e) {
            throw new ConfigurationException("configuration, settings: " + e.getMessage());
        }
    }

    /** The same settings for a sidecar on another stage, without peers. */
    public SidecarConfiguration forWarmUp(InetSocketAddress listens, InetSocketAddress asks, EndpointList knows) {
        return new SidecarConfiguration(
                name, listens, asks, seed, sockets, null, List.of(), null, knows, words, settings);
    }

    /** The file as it is now. Where it names another discovery than the variable of the start, the file is newer. */
    public static SidecarConfiguration reload(Map<String, String> environment, LoadBalancerSettings inForce)
            throws ConfigurationException {
        Map<String, String> rest = new HashMap<>(environment);
        rest.remove("BALANCER_DISCOVERY");
        SidecarConfiguration fresh = read(rest);
        String wrong = SettingsValidator.wrong(fresh.settings, inForce);
        if (wrong != null) {
            throw new ConfigurationException("configuration, settings: " + wrong);
        }
        return fresh;
    }

    private static SidecarConfiguration parse(JsonObject json, Map<String, String> environment) {
        String name = environment.getOrDefault("BALANCER_NAME", json.textOr("name", "sidecar"));
        Map<String, String> words = json.object("settings").flat();
        LoadBalancerSettings settings = new SettingsReader(words).read();
        List<InetSocketAddress> peers = new ArrayList<>();
        for (String peer : json.textsOrNone("peers")) {
            peers.add(address("peers", peer));
        }
        int sockets = (int) (json.has("limits") ? json.object("limits").numberOr("sockets", 1024) : 1024);
        return new SidecarConfiguration(
                name,
                told(json, environment, "listen", "BALANCER_LISTEN"),
                told(json, environment, "discovery", "BALANCER_DISCOVERY"),
                seed(json.text("seed")),
                sockets,
                optional(json, "peer_listen"),
                peers,
                optional(json, "peers_all"),
                known(json),
                words,
                settings);
    }

    private static EndpointList known(JsonObject json) {
        try {
            return EndpointList.parse(json.object("known"));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("'known': " + e.getMessage());
        }
    }

    private static InetSocketAddress told(
            JsonObject json, Map<String, String> environment, String field, String variable) {
        String text = environment.get(variable);
        return text == null ? address(field, json.text(field)) : address(variable, text);
    }

    private static InetSocketAddress optional(JsonObject json, String field) {
        return json.has(field) ? address(field, json.text(field)) : null;
    }

    private static InetSocketAddress address(String field, String text) {
        try {
            return EndpointList.parseAddress(text);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("'" + field + "' is no address: '" + text + "'");
        }
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("'seed' is no hexadecimal number: '" + text + "'");
        }
    }
}
