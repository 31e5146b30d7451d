package loadbalancer.proxy.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RecentRequestIdsTest {
    private static final long MESSAGE_MEMORY_BYTES = 16L * 256 * 1_024;

    private final RecentRequestIds ids = new RecentRequestIds(MESSAGE_MEMORY_BYTES);

    @Test
    void limitsIdsByMemory() {
        assertEquals(1_024, ids.maxIds());
        for (int i = 0; i < 2_000; i++) {
            ids.add("id-" + i, new RecentRequestIds.Share());
        }
        assertEquals(1_024, ids.size());
        assertFalse(ids.contains("id-975"));
        assertTrue(ids.contains("id-976"));
        assertTrue(ids.contains("id-1999"));
    }

    /** A connection with ever new ids must not make the sidecar forget those of others. */
    @Test
    void forgetsOldestIdOfConnectionBeyondItsShare() {
        ids.add("good", new RecentRequestIds.Share());
        RecentRequestIds.Share flood = new RecentRequestIds.Share();
        for (int i = 0; i < 100_000; i++) {
            ids.add("flood-" + i, flood);
        }
        assertTrue(ids.contains("good"));
        assertEquals(1 + 64, ids.size());
        assertTrue(ids.contains("flood-99999"));
        assertFalse(ids.contains("flood-99935"));
    }

    @Test
    void addsSameIdOnce() {
        RecentRequestIds.Share share = new RecentRequestIds.Share();
        ids.add("a", share);
        ids.add("a", share);
        assertEquals(1, ids.size());
    }
}
