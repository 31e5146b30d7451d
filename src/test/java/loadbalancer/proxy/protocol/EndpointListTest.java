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

    private static String list(String entry) {
        return "{\"generation\":3,\"reset\":false,\"instances\":[" + entry + "]}";
    }

    @Test
    void absentFieldsGetTheirDefaultsAndTimesBecomeMicroseconds() {
        EndpointList list = parse(list(ENTRY));
        assertEquals(3, list.generation());
        assertFalse(list.fullSnapshot());
        assertEquals(
                new Endpoint("e1", "", "", -1, 7_000, 1, EndpointState.READY),
                list.endpoints().get(0));
        assertEquals(9, list.entries().get(0).address().getPort());
    }

    @Test
    void eachLifecycleHasItsState() {
        assertEquals(
                EndpointState.DRAINING,
                parse(list(ENTRY.replace("Ready", "Terminating")))
                        .endpoints()
                        .get(0)
                        .state());
        assertEquals(
                EndpointState.REMOVED,
                parse(list(ENTRY.replace("Ready", "Gone"))).endpoints().get(0).state());
    }

    @Test
    void malformedListsSayWhatIsWrong() {
        assertMalformed("no JSON object", "[]");
        assertMalformed("'instances' is missing", "{\"generation\":3,\"reset\":false}");
        assertMalformed("'reset' is missing", "{\"generation\":3,\"instances\":[]}");
        assertMalformed("'instances' holds what is no object", list("7"));
        assertMalformed("'instanceId' is missing", list(ENTRY.replace("instanceId", "id")));
        assertMalformed("lifecycle 'Lost' is unknown", list(ENTRY.replace("Ready", "Lost")));
        assertMalformed("no address: 'host:9'", list(ENTRY.replace("127.0.0.1", "host")));
        assertMalformed("no address: '127.0.0.1'", list(ENTRY.replace(":9", "")));
        assertMalformed("port out of range", list(ENTRY.replace(":9", ":99999")));
    }

    private static void assertMalformed(String expected, String text) {
        String message = assertThrows(MalformedEndpointListException.class, () -> parse(text), text)
                .getMessage();
        assertTrue(message.startsWith(expected), message);
    }
}
