package loadbalancer.proxy.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.decision.AttemptOutcome;
import loadbalancer.proxy.configuration.ConfigurationException;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.StubServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A reload applies a valid configuration as a whole and without a restart. An invalid configuration changes nothing.
 */
@Timeout(60)
class ConfigurationReloadTest {
    private static final String OTHER_LIST =
            SidecarFixture.endpointListJson(7, true, SidecarFixture.endpointJson("u5", "127.0.0.1:9", "Ready", 0));

    private static String requestOfClass(String requestId, String requestClass) {
        return SidecarFixture.idempotentRequest(requestId, 20_000).replace("X-Lane: c", "X-Lane: " + requestClass);
    }

    private static void assertResponseStartsWith(String prefix, SidecarFixture fixture, String request)
            throws Exception {
        try (StubServer.Client client = fixture.client()) {
            String head = client.send(request).readResponse().head();
            assertTrue(head.startsWith(prefix), head);
        }
    }

    /** The reload replaces one request class by another and reduces the maximum number of attempts. */
    @Test
    void appliesNewSettingsToNewRequestsAndAnswersRequestsInFlight() throws Exception {
        CountDownLatch reloaded = new CountDownLatch(1);
        try (SidecarFixture fixture = new SidecarFixture()) {
            StubServer endpoint = fixture.addEndpoint((request, connection) -> {
                StubServer.awaitLatch(reloaded);
                connection.respond("200 OK", "", request.header("X-Txn"));
            });
            fixture.start();
            try (StubServer.Client client = fixture.client()) {
                client.send(requestOfClass("in-flight", "c"));
                endpoint.nextRequest();
                assertResponseStartsWith("HTTP/1.1 400 ", fixture, requestOfClass("n0", "added"));
                fixture.settingsJson = SidecarFixture.SETTINGS_JSON
                        .replace("\"name\":\"c\"", "\"name\":\"added\"")
                        .replace("\"max_attempts\":4", "\"max_attempts\":1");
                fixture.reload(fixture.discovery.address());
                assertEquals("settings added,k", fixture.awaitEvent("settings"));
                reloaded.countDown();
                assertEquals("in-flight", client.readResponse().body());
                assertResponseStartsWith("HTTP/1.1 200 ", fixture, requestOfClass("n1", "added"));
                assertResponseStartsWith("HTTP/1.1 400 ", fixture, requestOfClass("n2", "c"));
                retryUntilNotSent(fixture);
                endpoint.handler = (request, connection) -> connection.respond("500 No", "", "");
                assertEquals(502, client.send(requestOfClass("n3", "added")).readStatus());
                assertEquals("outcome n3 0 ERROR false -", fixture.awaitEvent("outcome n3"));
                assertEquals("outcome n3 1 NOT_SENT false -", fixture.awaitEvent("outcome n3"));
            }
        }
    }

    private static void retryUntilNotSent(SidecarFixture fixture) {
        fixture.onOutcome = (requestId, outcome, requestFinished, actions) -> {
            if (outcome == AttemptOutcome.NOT_SENT) {
                actions.fail(requestId);
            } else if (!requestFinished) {
                actions.sendAttempt(requestId, "u0", 0);
            }
        };
    }

    @Test
    void rejectsInvalidSettingsByNameAndAppliesNone() throws Exception {
        String[][] replacementsAndMessages = {
            {"\"me\":0", "\"me\":2", "'me'"},
            {"\"name\":\"k\"", "\"name\":\"c\"", "'c' twice"},
            {"\"objective_us\":300000", "\"objective_us\":0", "'c' is out of range: 'objective_us'"},
            {"\"cold_share\":0.2", "\"cold_share\":0", "'rules'"},
            {"\"max_attempts\":4", "\"max_attempts\":0", "'limits'"},
            // Otherwise requests that have been executed would be repeated where their keys are not known.
            {"\"group\":\"all\",", "", "'k' has no 'group'"},
            {"\"fall_multiple\":3", "\"fall_multiple\":\"three\"", "not a number"},
        };
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.addEndpoint(StubServer.echoingRequestId());
            fixture.start();
            for (String[] replacementAndMessage : replacementsAndMessages) {
                fixture.settingsJson =
                        SidecarFixture.SETTINGS_JSON.replace(replacementAndMessage[0], replacementAndMessage[1]);
                ConfigurationException e =
                        assertThrows(ConfigurationException.class, () -> fixture.reload("127.0.0.1:9"));
                assertTrue(e.getMessage().contains(replacementAndMessage[2]), e.getMessage());
            }
            try (StubServer.Client client = fixture.client()) {
                assertEquals(
                        "r",
                        client.send(requestOfClass("r", "c")).readResponse().body());
            }
            fixture.events.forEach(event -> assertTrue(!event.startsWith("settings"), event));
        }
    }

    /**
     * The sidecar works with these settings already. Rejecting them would keep it at the previous discovery service.
     */
    @Test
    void acceptsValuesOutOfRangeThatAreNotNew() throws Exception {
        String[][] replacements = {
            {"\"cold_share\":0.2", "\"cold_share\":0"},
            {"\"fall_us\":1000000", "\"fall_us\":0"},
            {"\"group\":\"all\",", ""},
            {"\"dial_timeout_us\":2000000", "\"dial_timeout_us\":0"},
            {"\"objective_us\":300000", "\"objective_us\":300000,\"importance\":0"},
        };
        for (String[] replacement : replacements) {
            try (SidecarFixture fixture = new SidecarFixture();
                    StubServer otherDiscovery = new StubServer(StubServer.respondingWith(OTHER_LIST))) {
                fixture.settingsJson = SidecarFixture.SETTINGS_JSON.replace(replacement[0], replacement[1]);
                fixture.start();
                fixture.settingsJson = fixture.settingsJson.replace("\"max_attempts\":4", "\"max_attempts\":3");
                fixture.reload(otherDiscovery.address());
                fixture.awaitEvent("settings");
                fixture.awaitEvent("list FULL u5=READY");
            }
        }
    }

    /**
     * A reload may change how lists are obtained along with the discovery address. From then on the watch repeats
     * failed calls without a poll, or leaves that to the load balancer.
     */
    @Test
    void changesDiscoveryModeAndAddress() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        StubServer.RequestHandler failingOnce = (request, connection) -> {
            if (calls.incrementAndGet() == 1) {
                connection.reset();
            } else {
                connection.respond("200 OK", "", OTHER_LIST);
            }
        };
        for (String mode : new String[] {"pushed", "on_request"}) {
            try (SidecarFixture fixture = new SidecarFixture();
                    StubServer otherDiscovery = new StubServer(failingOnce)) {
                calls.set(0);
                fixture.settingsJson = settingsWithDiscoveryMode(mode.equals("pushed") ? "on_request" : "pushed");
                fixture.pollsEndpoints = false;
                fixture.start();
                fixture.settingsJson = settingsWithDiscoveryMode(mode);
                fixture.reload(otherDiscovery.address());
                fixture.awaitEvent("settings");
                String next = fixture.awaitEvent("list");
                assertEquals(mode.equals("pushed") ? "list FULL u5=READY" : "list FAILED ", next);
            }
        }
    }

    private static String settingsWithDiscoveryMode(String mode) {
        return SidecarFixture.SETTINGS_JSON.replace("\"discovery\":\"on_request\"", "\"discovery\":\"" + mode + "\"");
    }

    /** If only the discovery address changes, the load balancer has to keep what it has learned. */
    @Test
    void doesNotNotifyLoadBalancerOfUnchangedSettings() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture();
                StubServer otherDiscovery = new StubServer(StubServer.respondingWith(OTHER_LIST))) {
            fixture.start();
            fixture.reload(otherDiscovery.address());
            String event;
            do {
                event = fixture.events.take();
                assertTrue(!event.startsWith("settings"), event);
            } while (!event.startsWith("list FULL u5=READY"));
        }
    }
}
