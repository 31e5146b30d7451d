package loadbalancer.proxy.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class MessageMemoryTest {
    private static final long LIMIT_BYTES = 8_000;

    private final List<String> freed = new ArrayList<>();
    private long nowMicros = 1;
    private final MessageMemory memory =
            new MessageMemory(new MemoryLimits(3 * LIMIT_BYTES, Long.MAX_VALUE, Long.MAX_VALUE), () -> nowMicros);

    /** A connection that frees everything when it is told to. */
    private final class Connection {
        final MemoryAccount account;

        Connection(PeerGroup group, String name) {
            account = memory.openAccount(group, () -> {
                freed.add(name);
                hold(0);
            });
        }

        void hold(long bytes) {
            account.update(bytes, bytes);
        }
    }

    @Test
    void derivesLimitFromTheScarcestKindOfMemory() {
        assertEquals(24, new MemoryLimits(72, 1_000, 1_000).messageBytes());
        assertEquals(24, new MemoryLimits(1_000, 40, 1_000).messageBytes());
        assertEquals(16, new MemoryLimits(1_000, 1_000, 64).messageBytes());
    }

    @Test
    void freesNothingWithinLimit() {
        new Connection(PeerGroup.CLIENTS, "client").hold(LIMIT_BYTES);
        memory.enforceLimit();
        assertEquals(List.of(), freed);
    }

    @Test
    void freesWhatIsHeldTheLongestFirst() {
        Connection stalled = new Connection(PeerGroup.CLIENTS, "stalled");
        Connection small = new Connection(PeerGroup.CLIENTS, "small");
        stalled.hold(3_000);
        small.hold(10);
        nowMicros += 1_000_000;
        Connection fresh = new Connection(PeerGroup.CLIENTS, "fresh");
        fresh.hold(5_500);
        memory.enforceLimit();
        assertEquals(List.of("stalled"), freed);
        assertEquals(5_510, memory.heldBytes());
    }

    /** Whatever clients hold, endpoints may hold their part, and the other way round. */
    @Test
    void sparesGroupWithinItsGuaranteedPart() {
        Connection endpoint = new Connection(PeerGroup.ENDPOINTS, "endpoint");
        endpoint.hold(2_000);
        nowMicros += 1_000_000;
        new Connection(PeerGroup.CLIENTS, "client").hold(7_000);
        memory.enforceLimit();
        assertEquals(List.of("client"), freed);
    }

    @Test
    void isExhaustedWhileNothingCanBeReclaimed() {
        MemoryAccount handled = memory.openAccount(PeerGroup.CLIENTS, () -> freed.add("handled"));
        handled.update(LIMIT_BYTES + 1, 0);
        memory.enforceLimit();
        assertEquals(List.of(), freed);
        assertTrue(memory.isExhausted(PeerGroup.CLIENTS));
        assertFalse(memory.isExhausted(PeerGroup.ENDPOINTS));
        handled.close();
        handled.update(5, 5);
        assertEquals(0, memory.heldBytes());
    }

    @Test
    void endsIfHolderFreesNothing() {
        memory.openAccount(PeerGroup.CLIENTS, () -> freed.add("stubborn")).update(LIMIT_BYTES + 1, LIMIT_BYTES + 1);
        memory.enforceLimit();
        assertEquals(List.of("stubborn"), freed);
    }

    @Test
    void reportsWhatWasFreed() {
        new Connection(PeerGroup.CLIENTS, "client").hold(LIMIT_BYTES + 1);
        memory.enforceLimit();
        String line = memory.summarizeAndReset();
        assertTrue(line.contains(" message_memory_max_bytes=8001 message_memory_freed_clients=1 "), line);
        assertTrue(memory.summarizeAndReset().contains(" message_memory_max_bytes=0 message_memory_freed_clients=0 "));
    }
}
