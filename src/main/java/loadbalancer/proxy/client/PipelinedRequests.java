package loadbalancer.proxy.client;

import java.util.ArrayDeque;
import loadbalancer.proxy.protocol.ProtocolConstants;

/**
 * Requests of one connection that are received but not yet handled, in the order of their receipt. Owns their messages
 * until {@link #poll} hands one over. Confined to the event loop.
 */
final class PipelinedRequests {
    /**
     * How much a client may pipeline; well-behaved clients do not pipeline at all. A client beyond this limit gets an
     * error. Its socket is not simply left unread, because then its disconnect would not be noticed.
     */
    private static final int MAX_BYTES = 4 * ProtocolConstants.MAX_REQUEST_BODY_BYTES;

    private final ArrayDeque<ReceivedRequest> requests = new ArrayDeque<>();
    private int sizeBytes;

    void add(ReceivedRequest request) {
        requests.add(request);
        sizeBytes += request.sizeBytes();
    }

    /** Returns the next request, whose message the caller has to release; null if there is none. */
    ReceivedRequest poll() {
        ReceivedRequest request = requests.poll();
        if (request != null) {
            sizeBytes -= request.sizeBytes();
        }
        return request;
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    boolean exceedsLimit() {
        return sizeBytes > MAX_BYTES;
    }

    /** Drops all requests and releases their messages. */
    void clear() {
        for (ReceivedRequest request; (request = poll()) != null; ) {
            request.message().release();
        }
    }
}
