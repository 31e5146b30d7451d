package loadbalancer.proxy.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.testing.SidecarFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SidecarConfigurationReaderTest {
    private static final String REQUIRED_FIELDS =
            "\"listen\":\"127.0.0.1:80\",\"discovery\":\"127.0.0.1:81\"," + "\"seed\":\"ff\",\"known\":"
                    + SidecarFixture.endpointListJson(1, true) + ",\"settings\":" + SidecarFixture.SETTINGS_JSON;

    @TempDir
    Path folder;

    private Map<String, String> environment(String fields) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, "{" + fields + "}");
        return new HashMap<>(Map.of("BALANCER_CONFIG", file.toString()));
    }

    private static InetSocketAddress address(int port) {
        return new InetSocketAddress("127.0.0.1", port);
    }

    @Test
    void usesDefaultsForOptionalFields() throws Exception {
        SidecarConfiguration configuration = SidecarConfigurationReader.read(environment(REQUIRED_FIELDS));
        assertEquals("sidecar", configuration.name());
        assertEquals(address(80), configuration.listenAddress());
        assertEquals(address(81), configuration.discoveryAddress());
        assertEquals(255, configuration.seed());
        assertEquals(1024, configuration.descriptorLimit());
        assertEquals(null, configuration.gossipListenAddress());
        assertEquals(List.of(), configuration.gossipPeers());
        assertEquals(null, configuration.gossipBroadcastAddress());
    }

    /** A file that can't be read for a moment must not make a reload without an effect. */
    @Test
    void readsFileThatCannotBeReadAtFirst() throws Exception {
        Map<String, String> environment = environment(REQUIRED_FIELDS);
        Path file = Path.of(environment.get("BALANCER_CONFIG"));
        Path hidden = folder.resolve("hidden");
        Files.move(file, hidden);
        CompletableFuture<Path> restored = CompletableFuture.supplyAsync(
                () -> move(hidden, file), CompletableFuture.delayedExecutor(300, TimeUnit.MILLISECONDS));
        assertEquals(255, SidecarConfigurationReader.read(environment).seed());
        restored.get();
    }

    private static Path move(Path from, Path to) {
        try {
            return Files.move(from, to);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The number must not wrap around to a small or negative one. */
    @Test
    void limitsDescriptorLimitToPlausibleRange() throws Exception {
        for (String number : List.of("2147483648", "4294967296", "9007199254740993")) {
            SidecarConfiguration configuration = SidecarConfigurationReader.read(
                    environment(REQUIRED_FIELDS + ",\"limits\":{\"sockets\":" + number + "}"));
            assertEquals(1 << 24, configuration.descriptorLimit(), number);
        }
        assertEquals(
                0,
                SidecarConfigurationReader.read(environment(REQUIRED_FIELDS + ",\"limits\":{\"sockets\":-5000000000}"))
                        .descriptorLimit());
    }

    @Test
    void readsAllFields() throws Exception {
        SidecarConfiguration configuration = SidecarConfigurationReader.read(environment(REQUIRED_FIELDS
                + ",\"name\":\"n3\",\"limits\":{\"sockets\":256},\"peer_listen\":\"127.0.0.1:82\","
                + "\"peers\":[\"127.0.0.1:83\",\"127.0.0.1:84\"],\"peers_all\":\"127.0.0.1:85\""));
        assertEquals("n3", configuration.name());
        assertEquals(256, configuration.descriptorLimit());
        assertEquals(address(82), configuration.gossipListenAddress());
        assertEquals(List.of(address(83), address(84)), configuration.gossipPeers());
        assertEquals(address(85), configuration.gossipBroadcastAddress());
    }

    @Test
    void prefersEnvironmentToFile() throws Exception {
        Map<String, String> environment = environment(REQUIRED_FIELDS + ",\"name\":\"n3\"");
        environment.put("BALANCER_NAME", "n4");
        environment.put("BALANCER_LISTEN", "127.0.0.1:90");
        environment.put("BALANCER_DISCOVERY", "127.0.0.1:91");
        SidecarConfiguration configuration = SidecarConfigurationReader.read(environment);
        assertEquals("n4", configuration.name());
        assertEquals(address(90), configuration.listenAddress());
        assertEquals(address(91), configuration.discoveryAddress());
    }

    /** The variable was set when the process started; the file may have been changed since. */
    @Test
    void takesDiscoveryAddressFromFileOnReload() throws Exception {
        Map<String, String> environment = environment(REQUIRED_FIELDS);
        environment.put("BALANCER_DISCOVERY", "127.0.0.1:91");
        SidecarConfiguration started = SidecarConfigurationReader.read(environment);
        SidecarConfiguration reloaded = SidecarConfigurationReader.reload(environment, started.settings());
        assertEquals(address(81), reloaded.discoveryAddress());
    }

    @Test
    void namesSourceOfInvalidAddress() throws Exception {
        Map<String, String> environment = environment(REQUIRED_FIELDS);
        environment.put("BALANCER_LISTEN", "localhost");
        ConfigurationException e =
                assertThrows(ConfigurationException.class, () -> SidecarConfigurationReader.read(environment));
        assertTrue(
                e.getMessage()
                        .contains("'BALANCER_LISTEN' must be an IP address and port, as in 127.0.0.1:80,"
                                + " but is 'localhost'"),
                e.getMessage());
    }
}
