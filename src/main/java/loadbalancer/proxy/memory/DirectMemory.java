package loadbalancer.proxy.memory;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufAllocatorMetricProvider;
import io.netty.util.internal.PlatformDependent;

/** The direct memory of the process, as Netty's default allocator accounts for it. Stateless. */
public final class DirectMemory {
    /** Beyond the limit, each allocation first blocks the event loop for half a second. */
    private static final double NEAR_LIMIT_RATIO = 0.75;

    private DirectMemory() {}

    /** Returns whether so much of the direct memory is used that operators should know. */
    public static boolean isNearLimit() {
        return usedBytes() > NEAR_LIMIT_RATIO * PlatformDependent.maxDirectMemory();
    }

    /** Returns what the allocator has taken, and the limit, as keys and values for the log with a leading space. */
    public static String describe() {
        return " direct_memory_bytes=" + usedBytes() + " direct_memory_limit_bytes="
                + PlatformDependent.maxDirectMemory();
    }

    private static long usedBytes() {
        return ByteBufAllocator.DEFAULT instanceof ByteBufAllocatorMetricProvider provider
                ? provider.metric().usedDirectMemory()
                : 0;
    }
}
