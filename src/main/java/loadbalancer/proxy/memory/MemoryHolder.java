package loadbalancer.proxy.memory;

/** A connection whose unfinished messages hold memory. */
@FunctionalInterface
public interface MemoryHolder {
    /**
     * Frees the reclaimable memory, by an error response or by closing the connection, and updates the account. Called
     * by {@link MessageMemory#enforceLimit} on the event loop.
     */
    void freeMemory();
}
