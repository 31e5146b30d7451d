package loadbalancer.proxy.memory;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * The sum of the memory that the unfinished messages of all peers hold, and its limit. If the limit is exceeded, the
 * connections that have held the most memory for the longest time have to free it, those of a {@link PeerGroup} that
 * holds more than its guaranteed part. Confined to the event loop.
 */
public final class MessageMemory {
    private final LongSupplier clockMicros;
    private final long limitBytes;
    private final Map<PeerGroup, GroupMemory> groups = new EnumMap<>(PeerGroup.class);
    private long heldBytes;
    private long maxHeldBytes;
    private int rejectedRequests;

    /** What the connections of one group hold. */
    private static final class GroupMemory {
        final long guaranteedBytes;
        /** The accounts with reclaimable memory. */
        final Set<MemoryAccount> reclaimableAccounts = new HashSet<>();

        long heldBytes;
        /** How many connections had to free memory since the last log line. */
        int freedConnections;

        GroupMemory(long guaranteedBytes) {
            this.guaranteedBytes = guaranteedBytes;
        }

        long excessBytes() {
            return heldBytes - guaranteedBytes;
        }
    }

    /** {@code clockMicros} returns the time of a monotonic clock, in microseconds. */
    public MessageMemory(MemoryLimits limits, LongSupplier clockMicros) {
        this.clockMicros = clockMicros;
        limitBytes = limits.messageBytes();
        for (PeerGroup group : PeerGroup.values()) {
            groups.put(group, new GroupMemory(group.guaranteedBytes(limitBytes)));
        }
    }

    /** Opens the account of a connection, which holds nothing yet. */
    public MemoryAccount openAccount(PeerGroup group, MemoryHolder holder) {
        return new MemoryAccount(this, group, holder);
    }

    /** Returns how much memory all peers together may hold. */
    public long limitBytes() {
        return limitBytes;
    }

    /** Returns how much memory all peers together hold. */
    public long heldBytes() {
        return heldBytes;
    }

    long nowMicros() {
        return clockMicros.getAsLong();
    }

    void accountChanged(MemoryAccount account, long addedBytes) {
        GroupMemory group = groups.get(account.group());
        group.heldBytes += addedBytes;
        heldBytes += addedBytes;
        maxHeldBytes = Math.max(maxHeldBytes, heldBytes);
        if (account.reclaimableBytes() > 0) {
            group.reclaimableAccounts.add(account);
        } else {
            group.reclaimableAccounts.remove(account);
        }
    }

    /**
     * Returns whether a group may hold no further memory: the limit is exceeded, and the group holds more than its
     * guaranteed part.
     */
    public boolean isExhausted(PeerGroup group) {
        return heldBytes > limitBytes && groups.get(group).excessBytes() > 0;
    }

    /** Counts a request that was rejected because the memory was exhausted. */
    public void requestRejected() {
        rejectedRequests++;
    }

    /**
     * Lets connections free memory until the limit is kept or nothing reclaimable is left. Must not be called while a
     * message is being decoded, because the connection that is being read may be closed.
     */
    public void enforceLimit() {
        while (heldBytes > limitBytes) {
            Optional<GroupMemory> group = groupToReclaimFrom();
            if (group.isEmpty()) {
                return;
            }
            free(group.get());
        }
    }

    private Optional<GroupMemory> groupToReclaimFrom() {
        return groups.values().stream()
                .filter(group -> group.excessBytes() > 0 && !group.reclaimableAccounts.isEmpty())
                .max(Comparator.comparingLong(GroupMemory::excessBytes));
    }

    private void free(GroupMemory group) {
        long nowMicros = nowMicros();
        MemoryAccount worst = group.reclaimableAccounts.stream()
                .max(Comparator.comparingLong(account -> account.reclaimableByteMicros(nowMicros)))
                .orElseThrow();
        group.freedConnections++;
        // Removed first, so that the loop ends even if the holder can't free its memory.
        group.reclaimableAccounts.remove(worst);
        worst.holder().freeMemory();
    }

    /** Returns what each group holds, as keys and values for the log with a leading space. */
    public String describe() {
        StringBuilder line = new StringBuilder();
        groups.forEach((group, memory) -> line.append(" message_memory_")
                .append(group.logName())
                .append("_bytes=")
                .append(memory.heldBytes));
        return line.append(" message_memory_limit_bytes=").append(limitBytes).toString();
    }

    /**
     * Returns the state and the counts since the last call, as keys and values for the log with a leading space, and
     * resets the counts.
     */
    public String summarizeAndReset() {
        StringBuilder line = new StringBuilder(describe());
        line.append(" message_memory_max_bytes=").append(maxHeldBytes);
        groups.forEach((group, memory) -> {
            line.append(" message_memory_freed_").append(group.logName()).append('=');
            line.append(memory.freedConnections);
            memory.freedConnections = 0;
        });
        line.append(" message_memory_rejected_requests=").append(rejectedRequests);
        maxHeldBytes = heldBytes;
        rejectedRequests = 0;
        return line.toString();
    }
}
