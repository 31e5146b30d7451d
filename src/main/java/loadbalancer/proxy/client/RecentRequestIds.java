package loadbalancer.proxy.client;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the ids of requests that have ended and may have been executed by an endpoint. A request that comes again
 * with such an id must not be sent: it would be executed a second time. Confined to the event loop.
 *
 * <p>The number of ids has a limit. A connection that has more than its share forgets its own oldest id; beyond the
 * limit, the oldest of all is forgotten. So a single connection can't make the sidecar forget the ids of the others.
 */
final class RecentRequestIds {
    /** The part of the memory for unfinished messages that the ids may take up in addition to it. */
    private static final int MEMORY_DIVISOR = 16;
    /** The estimated memory of an id: its entry, and its place in a share that may hold no other one. */
    private static final int BYTES_PER_ID = 256;
    /** A connection may use up this part of the limit. */
    private static final int SHARE_DIVISOR = 16;

    private static final long HASH_START = 0xcbf29ce484222325L;
    private static final long HASH_FACTOR = 0x100000001b3L;

    private final int maxIds;
    private final int maxIdsPerConnection;
    /** The shares by the hash of the id, in the order in which the ids were added. */
    private final Map<Long, Share> sharesByHash = new LinkedHashMap<>();

    /** The ids of one connection. It outlives the connection. */
    static final class Share {
        private final ArrayDeque<Long> hashes = new ArrayDeque<>(1);
    }

    /** {@code messageMemoryBytes} is how much memory the unfinished messages of all peers may hold. */
    RecentRequestIds(long messageMemoryBytes) {
        maxIds = (int) Math.max(SHARE_DIVISOR, messageMemoryBytes / MEMORY_DIVISOR / BYTES_PER_ID);
        maxIdsPerConnection = maxIds / SHARE_DIVISOR;
    }

    boolean contains(String requestId) {
        return sharesByHash.containsKey(hash(requestId));
    }

    /** Adds an id to the share of its connection. */
    void add(String requestId, Share share) {
        Long hash = hash(requestId);
        if (sharesByHash.putIfAbsent(hash, share) != null) {
            return;
        }
        share.hashes.add(hash);
        if (share.hashes.size() > maxIdsPerConnection) {
            sharesByHash.remove(share.hashes.poll());
        }
        if (sharesByHash.size() > maxIds) {
            forgetOldest();
        }
    }

    private void forgetOldest() {
        Iterator<Share> oldestFirst = sharesByHash.values().iterator();
        // The oldest id of all is the oldest of its share as well.
        oldestFirst.next().hashes.poll();
        oldestFirst.remove();
    }

    int size() {
        return sharesByHash.size();
    }

    int maxIds() {
        return maxIds;
    }

    /** Returns a 64-bit FNV-1a hash. An id itself may be some kilobytes long. */
    private static Long hash(String requestId) {
        long hash = HASH_START;
        for (int i = 0; i < requestId.length(); i++) {
            hash = (hash ^ requestId.charAt(i)) * HASH_FACTOR;
        }
        return hash;
    }
}
