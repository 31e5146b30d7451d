package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A changed configuration holds without a restart, or not at all. */
@Timeout(60)
class ReloadTest {
    private static String get(String id, String requestClass) {
        return Rig.get(id, 20_000).replace("X-Lane: c", "X-Lane: " + requestClass);
    }

    private static void assertStarts(String start, Rig rig, String request) throws Exception {
        try (Peer.Client client = rig.client()) {
            String head = client.send(request).answer().head();
            assertTrue(head.startsWith(start), head);
        }
    }

    /** One class goes and another comes: what is under way is answered, and the next requests find the new settings. */
    @Test
    void otherClassesHoldAtOnceAndRequestsUnderWayAreAnswered() throws Exception {
        CountDownLatch reloaded = new CountDownLatch(1);
        try (Rig rig = new Rig()) {
            Peer up = rig.upstream((m, line) -> {
                try {
                    reloaded.await();
                } catch (InterruptedException e) {
                    throw new java.io.InterruptedIOException();
                }
                line.answer("200 OK", "", m.header("X-Txn"));
            });
            rig.start();
            try (Peer.Client old = rig.client()) {
                old.send(get("old", "c"));
                up.next();
                assertStarts("HTTP/1.1 400 ", rig, get("n0", "fresh"));
                rig.settings = Rig.SETTINGS
                        .replace("\"name\":\"c\"", "\"name\":\"fresh\"")
                        .replace("\"max_attempts\":4", "\"max_attempts\":1");
                rig.reload(rig.discovery.address());
                assertEquals("settings fresh,k", rig.await("settings"));
                reloaded.countDown();
                assertEquals("old", old.answer().body());
                assertStarts("HTTP/1.1 200 ", rig, get("n1", "fresh"));
                assertStarts("HTTP/1.1 400 ", rig, get("n2", "c"));
                rig.onOutcome = (id, outcome, done, out) -> {
                    if (outcome == rushproxy.Balancer.Outcome.NOT_SENT) {
                        out.fail(id);
                    } else if (!done) {
                        out.send(id, "u0", 0);
                    }
                };
                up.script = (m, line) -> line.answer("500 No", "", "");
                assertEquals(502, old.send(get("n3", "fresh")).status());
                assertEquals("outcome n3 0 ERROR false -", rig.await("outcome n3"));
                assertEquals("outcome n3 1 NOT_SENT false -", rig.await("outcome n3"));
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
        try (Rig rig = new Rig()) {
            rig.upstream((m, line) -> line.answer("200 OK", "", m.header("X-Txn")));
            rig.start();
            for (String[] w : wrong) {
                rig.settings = Rig.SETTINGS.replace(w[0], w[1]);
                Config.Broken e = assertThrows(Config.Broken.class, () -> rig.reload("127.0.0.1:9"));
                assertTrue(e.getMessage().contains(w[2]), e.getMessage());
            }
            try (Peer.Client client = rig.client()) {
                assertEquals("r", client.send(get("r", "c")).answer().body());
            }
            rig.told.forEach(t -> assertTrue(!t.startsWith("settings"), t));
        }
    }

    /** Where only discovery has moved, nothing that was learned is put in doubt. */
    @Test
    void settingsThatAreTheSameAreNoNews() throws Exception {
        try (Rig rig = new Rig();
                Peer elsewhere = new Peer((m, line) ->
                        line.answer("200 OK", "", Rig.list(7, true, Rig.entry("u5", "127.0.0.1:9", "Ready", 0))))) {
            rig.start();
            rig.reload(elsewhere.address());
            String list;
            do {
                list = rig.told.take();
                assertTrue(!list.startsWith("settings"), list);
            } while (!list.startsWith("list FULL u5=READY"));
        }
    }
}
