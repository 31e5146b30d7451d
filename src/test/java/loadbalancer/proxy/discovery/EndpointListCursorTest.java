package loadbalancer.proxy.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import loadbalancer.proxy.protocol.EndpointList;
import loadbalancer.proxy.testing.SidecarFixture;
import org.junit.jupiter.api.Test;

class EndpointListCursorTest {
    private static final String ENTRY = SidecarFixture.endpointJson("u0", "127.0.0.1:9", "Ready", 0);

    private final EndpointListCursor cursor = new EndpointListCursor(41);

    private static EndpointList list(long generation, boolean fullSnapshot, String... entries) {
        return EndpointList.parse(SidecarFixture.endpointListJson(generation, fullSnapshot, entries)
                .getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void requestsLongPollAfterFirstList() {
        assertEquals("/registry/instances?index=41&wait=0", cursor.nextRequestTarget(2_000));
        cursor.recordFailedCall(CallFailure.TIMEOUT);
        assertEquals("/registry/instances?index=41&wait=0", cursor.nextRequestTarget(2_000));
        cursor.advanceTo(list(43, false));
        assertEquals("/registry/instances?index=43&wait=2000", cursor.nextRequestTarget(2_000));
    }

    @Test
    void requestsFullSnapshotOnlyAfterMalformedList() {
        cursor.advanceTo(list(41, false));
        cursor.recordFailedCall(CallFailure.TIMEOUT);
        assertEquals("/registry/instances?index=41&wait=0", cursor.nextRequestTarget(2_000));
        cursor.recordFailedCall(CallFailure.MALFORMED_LIST);
        assertFalse(cursor.nextCallIsLongPoll());
        assertEquals("/registry/instances", cursor.nextRequestTarget(2_000));
        cursor.recordFailedCall(CallFailure.TIMEOUT);
        assertEquals("/registry/instances", cursor.nextRequestTarget(2_000));
    }

    @Test
    void requestsFullSnapshotFromNewService() {
        cursor.advanceTo(list(41, false));
        cursor.requireFullSnapshot();
        assertFalse(cursor.nextCallIsLongPoll());
        assertEquals("/registry/instances", cursor.nextRequestTarget(2_000));
    }

    @Test
    void acceptsAnyFullSnapshotAndRejectsInapplicableDelta() {
        assertTrue(cursor.accepts(list(41, false)));
        assertTrue(cursor.accepts(list(42, false, ENTRY)));
        assertFalse(cursor.accepts(list(40, false, ENTRY)));
        assertTrue(cursor.accepts(list(3, true, ENTRY)), "a full snapshot may have a lower generation");
        assertTrue(cursor.accepts(list(50, true)), "an empty full snapshot removes all endpoints");
        cursor.recordFailedCall(CallFailure.MALFORMED_LIST);
        assertFalse(
                cursor.accepts(list(42, false, ENTRY)), "a delta can't be applied while a full snapshot is required");
        assertTrue(cursor.accepts(list(3, true, ENTRY)));
        assertTrue(cursor.accepts(list(3, true)));
    }
}
