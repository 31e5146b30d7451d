package loadbalancer.proxy.memory;

import io.netty.util.internal.PlatformDependent;

/**
 * The memory that the process may use.
 *
 * @param heapBytes the maximum size of the heap
 * @param directBytes the maximum size of all direct buffers
 * @param processBytes the memory limit of the process; {@link Long#MAX_VALUE} if there is none
 */
public record MemoryLimits(long heapBytes, long directBytes, long processBytes) {
    /** The rest of the heap is for the program's own state and for garbage between two collections. */
    private static final int HEAP_DIVISOR = 3;
    /**
     * The rest of the direct memory is for the buffers that sockets are read into and the allocator's unused memory.
     */
    private static final double DIRECT_RATIO = 0.6;
    /** The rest of the process's memory is for the virtual machine and for unused parts of the heap. */
    private static final int PROCESS_DIVISOR = 4;

    /** Returns the limits of this process; {@code processBytes} is its memory limit from the configuration. */
    public static MemoryLimits ofThisProcess(long processBytes) {
        return new MemoryLimits(Runtime.getRuntime().maxMemory(), PlatformDependent.maxDirectMemory(), processBytes);
    }

    /** Returns how much memory the unfinished messages of all peers together may hold, on the heap or outside of it. */
    long messageBytes() {
        long heapPart = heapBytes / HEAP_DIVISOR;
        long directPart = (long) (directBytes * DIRECT_RATIO);
        return Math.min(Math.min(heapPart, directPart), processBytes / PROCESS_DIVISOR);
    }
}
