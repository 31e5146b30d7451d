package loadbalancer.proxy.client;

import java.util.ArrayDeque;
import loadbalancer.proxy.protocol.ProtocolConstants;

/**
 * The requests of one connection that are received but not yet handled, in the order of their receipt. Owns each
 * message until {@link #poll} returns it. Confined to the event loop.
 */
final class PipelinedRequests {
    /**
     * Maximum estimated memory of the pipelined requests of one connection, enough for a thousand requests without a
     * body. Requests beyond it are rejected in their turn. What all connections hold is limited by
     * {@link loadbalancer.proxy.memory.MessageMemory}.
     */
    private static final int MAX_BYTES = 32 * ProtocolConstants.MAX_REQUEST_BODY_BYTES;
    /**
     * The same with the rejected ones, of which it allows two thousand. A client that exceeds it gets an error response
     * in place of all further ones. The sidecar keeps reading the socket nevertheless, because otherwise it would not
     * notice that the client disconnects.
     */
    private static final int MAX_BYTES_WITH_REJECTED_REQUESTS = MAX_BYTES + 1024 * 1024;

    private final ArrayDeque<ReceivedRequest> requests = new ArrayDeque<>();
    private int sizeBytes;

    /** Adds a request, or a rejected one in its place if the limit is exceeded. */
    void add(ReceivedRequest request) {
        boolean mayBeHeld = sizeBytes + request.sizeBytes() <= MAX_BYTES;
        append(mayBeHeld ? request : request.toRejected());
    }

    private void append(ReceivedRequest request) {
        requests.add(request);
        sizeBytes += request.sizeBytes();
    }

    /** Removes and returns the next request, whose message the caller has to release; null if there is none. */
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

    /** Returns the estimated memory of all requests. */
    int sizeBytes() {
        return sizeBytes;
    }

    boolean exceedsLimit() {
        return sizeBytes > MAX_BYTES_WITH_REJECTED_REQUESTS;
    }

    /** Replaces all requests by rejected ones, which hold hardly any memory, and releases their messages. */
    void rejectAll() {
        int count = requests.size();
        for (int i = 0; i < count; i++) {
            append(poll().toRejected());
        }
    }

    /** Drops all requests and releases their messages. */
    void clear() {
        for (ReceivedRequest request; (request = poll()) != null; ) {
            request.message().release();
        }
    }
}
