package loadbalancer.proxy.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import loadbalancer.proxy.configuration.ConfigurationException;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.StubServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A changed configuration holds without a restart, or not at all. */
@Timeout(60)
class ConfigurationReloadTest {
    private static String get(String id, String requestClass) {
        return SidecarFixture.get(id, 20_000).replace("X-Lane: c", "X-Lane: " + requestClass);
    }

    private static void assertStarts(String start, SidecarFixture fixture, String request) throws Exception {
        try (StubServer.Client client = fixture.client()) {
            String head = client.send(request).answer().head();
            assertTrue(head.startsWith(start), head);
        }
    }

    /** One class goes and another comes: what is under way is answered, and the next requests find the new settings. */
    @Test
    void otherClassesHoldAtOnceAndRequestsUnderWayAreAnswered() throws Exception {
        CountDownLatch reloaded = new CountDownLatch(1);
        try (SidecarFixture fixture = new SidecarFixture()) {
            StubServer up = fixture.upstream((m, line) -> {
                try {
                    reloaded.await();
                } catch (InterruptedException e) {
                    throw new java.io.InterruptedIOException();
                }
                line.answer("200 OK", "", m.header("X-Txn"));
            });
            fixture.start();
            try (StubServer.Client old = fixture.client()) {
                old.send(get("old", "c"));
                up.next();
                assertStarts("HTTP/1.1 400 ", fixture, get("n0", "fresh"));
                fixture.settings = SidecarFixture.SETTINGS
                        .replace("\"name\":\"c\"", "\"name\":\"fresh\"")
                        .replace("\"max_attempts\":4", "\"max_attempts\":1");
                fixture.reload(fixture.discovery.address());
                assertEquals("settings fresh,k", fixture.await("settings"));
                reloaded.countDown();
                assertEquals("old", old.answer().body());
                assertStarts("HTTP/1.1 200 ", fixture, get("n1", "fresh"));
                assertStarts("HTTP/1.1 400 ", fixture, get("n2", "c"));
                fixture.onOutcome = (id, outcome, done, out) -> {
                    if (outcome == loadbalancer.decision.AttemptOutcome.NOT_SENT) {
                        out.fail(id);
                    } else if (!done) {
                        out.sendAttempt(id, "u0", 0);
                    }
                };
                up.script = (m, line) -> line.answer("500 No", "", "");
                assertEquals(502, old.send(get("n3", "fresh")).status());
                assertEquals("outcome n3 0 ERROR false -", fixture.await("outcome n3"));
                assertEquals("outcome n3 1 NOT_SENT false -", fixture.await("outcome n3"));
            }
        }
    }

    @Test
    void whatIsWrongAnywhereIsNamedAndNothingOfItIsUsed() throws Exception {
        String[][] wrong = {
            {"\"me\":0", "\"me\":2", "'me'"},
            {"\"name\":\"k\"", "\"name\":\"c\"", "'c' twice"},
            {"\"objective_us\":300000", "\"objective_us\":0", "no time"},
            {"\"cold_share\":0.2", "\"cold_share\":0", "'rules'"},
            {"\"max_attempts\":4", "\"max_attempts\":0", "'limits'"},
            {"\"discovery\":\"on_request\"", "\"discovery\":\"pushed\"", "'discovery'"},
            {"\"fall_multiple\":3", "\"fall_multiple\":\"three\"", "no number"},
        };
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.upstream((m, line) -> line.answer("200 OK", "", m.header("X-Txn")));
            fixture.start();
            for (String[] w : wrong) {
                fixture.settings = SidecarFixture.SETTINGS.replace(w[0], w[1]);
                ConfigurationException e =
                        assertThrows(ConfigurationException.class, () -> fixture.reload("127.0.0.1:9"));
                assertTrue(e.getMessage().contains(w[2]), e.getMessage());
            }
            try (StubServer.Client client = fixture.client()) {
                assertEquals("r", client.send(get("r", "c")).answer().body());
            }
            fixture.events.forEach(t -> assertTrue(!t.startsWith("settings"), t));
        }
    }

    /** Where only discovery has moved, nothing that was learned is put in doubt. */
    @Test
    void settingsThatAreTheSameAreNoNews() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture();
                StubServer elsewhere = new StubServer((m, line) -> line.answer(
                        "200 OK",
                        "",
                        SidecarFixture.list(7, true, SidecarFixture.entry("u5", "127.0.0.1:9", "Ready", 0))))) {
            fixture.start();
            fixture.reload(elsewhere.address());
            String list;
            do {
                list = fixture.events.take();
                assertTrue(!list.startsWith("settings"), list);
            } while (!list.startsWith("list FULL u5=READY"));
        }
    }
}
