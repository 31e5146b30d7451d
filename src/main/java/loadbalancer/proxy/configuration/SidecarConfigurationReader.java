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
import java.util.concurrent.locks.LockSupport;
import loadbalancer.input.InvalidSettingsException;
import loadbalancer.input.SettingsReader;
import loadbalancer.proxy.protocol.EndpointList;
import loadbalancer.proxy.protocol.JsonObject;
import loadbalancer.settings.LoadBalancerSettings;

/**
 * Reads the configuration file and the environment variables that override it. Defines the names of these variables and
 * of the fields of the file, except those within an endpoint list ({@link EndpointList}) and within the load balancer
 * settings ({@link SettingsReader}). Blocks while it reads the file, so it must not be called on an event loop.
 */
public final class SidecarConfigurationReader {
    private static final String FILE_VARIABLE = "BALANCER_CONFIG";
    private static final String NAME_VARIABLE = "BALANCER_NAME";
    private static final String LISTEN_VARIABLE = "BALANCER_LISTEN";
    private static final String DISCOVERY_VARIABLE = "BALANCER_DISCOVERY";

    private static final String NAME = "name";
    private static final String LISTEN_ADDRESS = "listen";
    private static final String DISCOVERY_ADDRESS = "discovery";
    private static final String SEED = "seed";
    private static final String LIMITS = "limits";
    private static final String DESCRIPTOR_LIMIT = "sockets";
    private static final String MEMORY_LIMIT_MEGABYTES = "memory_mb";
    private static final String GOSSIP_LISTEN_ADDRESS = "peer_listen";
    private static final String GOSSIP_PEERS = "peers";
    private static final String GOSSIP_BROADCAST_ADDRESS = "peers_all";
    private static final String INITIAL_ENDPOINTS = "known";
    private static final String SETTINGS = "settings";

    private static final int MAX_READ_ATTEMPTS = 11;
    private static final long READ_RETRY_DELAY_NANOS = 100_000_000;

    private static final String DEFAULT_NAME = "sidecar";
    private static final int DEFAULT_DESCRIPTOR_LIMIT = 1024;
    /** A higher limit makes no difference, because no process opens that many descriptors. */
    private static final int MAX_DESCRIPTOR_LIMIT = 1 << 24;

    private static final long NO_MEMORY_LIMIT_MEGABYTES = 0;
    /** A higher limit makes no difference, because no machine has that much memory. */
    private static final long MAX_MEMORY_LIMIT_MEGABYTES = 1L << 32;

    private static final long BYTES_PER_MEGABYTE = 1L << 20;

    private final JsonObject file;
    private final Map<String, String> environment;

    private SidecarConfigurationReader(JsonObject file, Map<String, String> environment) {
        this.file = file;
        this.environment = environment;
    }

    /**
     * Reads the configuration that a sidecar starts with.
     *
     * @param environment the environment variables of the process
     * @throws ConfigurationException if {@code BALANCER_CONFIG} is not set, the file can't be read, or a field or a
     *     variable is missing or malformed
     */
    public static SidecarConfiguration read(Map<String, String> environment) throws ConfigurationException {
        byte[] json = readFile(environment);
        try {
            return new SidecarConfigurationReader(JsonObject.parse(json), environment).readConfiguration();
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException("configuration: " + e.getMessage());
        } catch (InvalidSettingsException e) {
            throw new ConfigurationException("configuration, settings: " + e.getMessage());
        }
    }

    /**
     * Reads the configuration again for a running sidecar. The discovery address is taken from the file even if the
     * environment sets one, because the environment of a running process can't be changed.
     *
     * @throws ConfigurationException as for {@link #read}, or if the settings can't replace the current ones
     */
    public static SidecarConfiguration reload(Map<String, String> environment, LoadBalancerSettings currentSettings)
            throws ConfigurationException {
        Map<String, String> environmentWithoutDiscovery = new HashMap<>(environment);
        environmentWithoutDiscovery.remove(DISCOVERY_VARIABLE);
        SidecarConfiguration reloaded = read(environmentWithoutDiscovery);
        SettingsValidator.validate(reloaded.settings(), currentSettings);
        return reloaded;
    }

    private static byte[] readFile(Map<String, String> environment) throws ConfigurationException {
        String path = environment.get(FILE_VARIABLE);
        if (path == null || path.isEmpty()) {
            throw new ConfigurationException(
                    FILE_VARIABLE + " is not set: it must be the path of the configuration file");
        }
        try {
            return readRepeatedly(Path.of(path));
        } catch (IOException | InvalidPathException e) {
            throw new ConfigurationException(FILE_VARIABLE + " names a file that can't be read: " + e);
        }
    }

    /**
     * Reads a file. Repeats a failed read for a second: a file system may fail for a moment, and a reload that is
     * rejected for that would leave the sidecar at a discovery service that is about to end.
     */
    private static byte[] readRepeatedly(Path path) throws IOException {
        for (int attempt = 1; attempt < MAX_READ_ATTEMPTS; attempt++) {
            try {
                return Files.readAllBytes(path);
            } catch (IOException e) {
                LockSupport.parkNanos(READ_RETRY_DELAY_NANOS);
            }
        }
        return Files.readAllBytes(path);
    }

    private SidecarConfiguration readConfiguration() {
        Map<String, String> flattenedSettings = file.object(SETTINGS).flattened();
        LoadBalancerSettings settings = new SettingsReader(flattenedSettings).read();
        return new SidecarConfiguration(
                environment.getOrDefault(NAME_VARIABLE, file.stringOr(NAME, DEFAULT_NAME)),
                address(LISTEN_VARIABLE, LISTEN_ADDRESS),
                address(DISCOVERY_VARIABLE, DISCOVERY_ADDRESS),
                seed(),
                descriptorLimit(),
                memoryLimitBytes(),
                addressOrNull(GOSSIP_LISTEN_ADDRESS),
                gossipPeers(),
                addressOrNull(GOSSIP_BROADCAST_ADDRESS),
                initialEndpoints(),
                flattenedSettings,
                settings);
    }

    private List<InetSocketAddress> gossipPeers() {
        List<InetSocketAddress> peers = new ArrayList<>();
        for (String peer : file.stringsOrEmpty(GOSSIP_PEERS)) {
            peers.add(parseAddress(GOSSIP_PEERS, peer));
        }
        return peers;
    }

    private int descriptorLimit() {
        if (!file.has(LIMITS)) {
            return DEFAULT_DESCRIPTOR_LIMIT;
        }
        long limit = file.object(LIMITS).integerOr(DESCRIPTOR_LIMIT, DEFAULT_DESCRIPTOR_LIMIT);
        return (int) Math.max(0, Math.min(MAX_DESCRIPTOR_LIMIT, limit));
    }

    private long memoryLimitBytes() {
        long megabytes = file.has(LIMITS)
                ? file.object(LIMITS).integerOr(MEMORY_LIMIT_MEGABYTES, NO_MEMORY_LIMIT_MEGABYTES)
                : NO_MEMORY_LIMIT_MEGABYTES;
        return megabytes <= 0 ? Long.MAX_VALUE : Math.min(MAX_MEMORY_LIMIT_MEGABYTES, megabytes) * BYTES_PER_MEGABYTE;
    }

    private EndpointList initialEndpoints() {
        try {
            return EndpointList.parse(file.object(INITIAL_ENDPOINTS));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("'" + INITIAL_ENDPOINTS + "': " + e.getMessage());
        }
    }

    private InetSocketAddress address(String variable, String field) {
        String override = environment.get(variable);
        return override == null ? parseAddress(field, file.string(field)) : parseAddress(variable, override);
    }

    private InetSocketAddress addressOrNull(String field) {
        return file.has(field) ? parseAddress(field, file.string(field)) : null;
    }

    private static InetSocketAddress parseAddress(String source, String text) {
        try {
            return EndpointList.parseAddress(text);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(
                    "'" + source + "' must be an IP address and port, as in 127.0.0.1:80, but is '" + text + "'");
        }
    }

    private long seed() {
        String text = file.string(SEED);
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "'" + SEED + "' must be a hexadecimal number of at most 64 bits, but is '" + text + "'");
        }
    }
}
