package loadbalancer.proxy.testing;

import loadbalancer.proxy.memory.MemoryLimits;
import loadbalancer.proxy.memory.MessageMemory;

/** Creates the memory accounts of components that are tested alone. */
public final class TestMemory {
    private TestMemory() {}

    /** Returns memory without a limit. */
    public static MessageMemory unlimited() {
        return new MessageMemory(new MemoryLimits(Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE), () -> 0);
    }
}
