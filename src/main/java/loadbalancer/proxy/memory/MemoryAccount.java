package loadbalancer.proxy.memory;

/**
 * What the unfinished messages of one connection hold. Its owner updates it whenever that changes, and closes it with
 * the connection. Confined to the event loop.
 */
public final class MemoryAccount {
    private final MessageMemory memory;
    private final PeerGroup group;
    private final MemoryHolder holder;
    private long heldBytes;
    private long reclaimableBytes;
    /** When the reclaimable memory began to be held. */
    private long reclaimableSinceMicros;

    private boolean closed;

    MemoryAccount(MessageMemory memory, PeerGroup group, MemoryHolder holder) {
        this.memory = memory;
        this.group = group;
        this.holder = holder;
    }

    /**
     * Records what the connection holds now. Has no effect after {@link #close}.
     *
     * @param newHeldBytes all memory of the unfinished messages
     * @param newReclaimableBytes the part of it that {@link MemoryHolder#freeMemory} would free
     */
    public void update(long newHeldBytes, long newReclaimableBytes) {
        if (closed || newHeldBytes == heldBytes && newReclaimableBytes == reclaimableBytes) {
            return;
        }
        if (reclaimableBytes == 0 && newReclaimableBytes > 0) {
            reclaimableSinceMicros = memory.nowMicros();
        }
        long addedBytes = newHeldBytes - heldBytes;
        heldBytes = newHeldBytes;
        reclaimableBytes = newReclaimableBytes;
        memory.accountChanged(this, addedBytes);
    }

    /** Records that the connection is closed and holds nothing any more. */
    public void close() {
        update(0, 0);
        closed = true;
    }

    PeerGroup group() {
        return group;
    }

    MemoryHolder holder() {
        return holder;
    }

    long reclaimableBytes() {
        return reclaimableBytes;
    }

    /**
     * Returns how much memory was held for how long, in byte microseconds. A message that is large but new has a
     * smaller value than one of the same size that makes no progress.
     */
    long reclaimableByteMicros(long nowMicros) {
        return reclaimableBytes * (1 + nowMicros - reclaimableSinceMicros);
    }
}
