package loadbalancer.proxy.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import loadbalancer.decision.Endpoint;
import loadbalancer.decision.EndpointState;
import org.junit.jupiter.api.Test;

class EndpointListTest {
    private static final String ENTRY =
            "{\"instanceId\":\"e1\",\"hostPort\":\"127.0.0.1:9\",\"lifecycle\":\"Ready\",\"startedAtMs\":7}";

    private static EndpointList parse(String text) {
        return EndpointList.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String listOf(String entry) {
        return "{\"generation\":3,\"reset\":false,\"instances\":[" + entry + "]}";
    }

    @Test
    void appliesDefaultsAndConvertsStartTimesToMicroseconds() {
        EndpointList list = parse(listOf(ENTRY));
        assertEquals(3, list.generation());
        assertFalse(list.fullSnapshot());
        assertEquals(
                new Endpoint("e1", "", "", -1, 7_000, 1, EndpointState.READY),
                list.endpoints().get(0));
        assertEquals(9, list.entries().get(0).address().getPort());
    }

    @Test
    void convertsLifecycleToState() {
        assertEquals(
                EndpointState.DRAINING,
                parse(listOf(ENTRY.replace("Ready", "Terminating")))
                        .endpoints()
                        .get(0)
                        .state());
        assertEquals(
                EndpointState.REMOVED,
                parse(listOf(ENTRY.replace("Ready", "Gone"))).endpoints().get(0).state());
    }

    @Test
    void readsRemovedEndpointWithoutAddress() {
        EndpointList list = parse(listOf("{\"instanceId\":\"e1\",\"lifecycle\":\"Gone\"}"));
        assertEquals("e1", list.endpoints().get(0).id());
        assertEquals(EndpointState.REMOVED, list.endpoints().get(0).state());
        assertMalformed("field 'hostPort' is missing", listOf("{\"instanceId\":\"e1\",\"lifecycle\":\"Ready\"}"));
        assertMalformed("field 'instanceId' is missing", listOf("{\"lifecycle\":\"Gone\"}"));
    }

    @Test
    void appliesNewerListToFullList() {
        String other = ENTRY.replace("e1", "e2");
        EndpointList full = parse("{\"generation\":3,\"reset\":true,\"instances\":[" + ENTRY + "," + other + "]}");
        String changes = ENTRY.replace("Ready", "Terminating") + "," + other.replace("Ready", "Gone") + ","
                + ENTRY.replace("e1", "e3");
        EndpointList updated =
                full.updatedBy(parse("{\"generation\":5,\"reset\":false,\"instances\":[" + changes + "]}"));
        assertEquals(5, updated.generation());
        assertTrue(updated.fullSnapshot());
        assertEquals(
                "[e1=DRAINING, e3=READY]",
                updated.endpoints().stream()
                        .map(endpoint -> endpoint.id() + "=" + endpoint.state())
                        .toList()
                        .toString());
        EndpointList snapshot = parse("{\"generation\":2,\"reset\":true,\"instances\":[]}");
        assertEquals(snapshot, full.updatedBy(snapshot));
    }

    @Test
    void reportsErrorInMalformedList() {
        assertMalformed("expected a JSON object, found another JSON value or no text", "[]");
        assertMalformed("field 'instances' is missing", "{\"generation\":3,\"reset\":false}");
        assertMalformed("field 'reset' is missing", "{\"generation\":3,\"instances\":[]}");
        assertMalformed("field 'instances' has an element that is not an object", listOf("7"));
        assertMalformed("field 'instanceId' is missing", listOf(ENTRY.replace("instanceId", "id")));
        assertMalformed(
                "field 'lifecycle' is 'Lost'; expected Ready, Terminating or Gone",
                listOf(ENTRY.replace("Ready", "Lost")));
        assertMalformed(
                "expected a numeric address host:port, found 'host:9'", listOf(ENTRY.replace("127.0.0.1", "host")));
        assertMalformed("expected a numeric address host:port, found '127.0.0.1'", listOf(ENTRY.replace(":9", "")));
        assertMalformed("port out of range", listOf(ENTRY.replace(":9", ":99999")));
    }

    private static void assertMalformed(String expected, String text) {
        String message = assertThrows(MalformedEndpointListException.class, () -> parse(text), text)
                .getMessage();
        assertTrue(message.startsWith(expected), message);
    }
}
