package loadbalancer.proxy.client;

import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;

/**
 * When a client's connection was accepted and last used, and whether it is in the middle of a request. All times are in
 * microseconds of the {@link loadbalancer.proxy.eventloop.MonotonicClock}. Confined to the event loop.
 */
final class ConnectionActivity {
    /**
     * How long after the connection the first request has to begin, and how long any request may take from its first
     * byte to its last.
     */
    private static final long REQUEST_TIMEOUT_MICROS = 2_000_000;
    /**
     * How long a connection may stay idle between requests. The protocol allows a sidecar to close it then; clients
     * connect again.
     */
    private static final long IDLE_TIMEOUT_MICROS = 4_000_000;

    private static final long BETWEEN_REQUESTS = 0;

    private final long acceptedMicros;
    private final long backlogWaitMicros;
    private long lastActivityMicros;
    /** When the first byte of the incomplete request was read; {@link #BETWEEN_REQUESTS} if there is none. */
    private long requestStartMicros = BETWEEN_REQUESTS;

    private boolean requestReceived;

    /** {@code backlogWaitMicros} is the longest time that the connection can have waited in the accept backlog. */
    ConnectionActivity(long acceptedMicros, long backlogWaitMicros) {
        this.acceptedMicros = acceptedMicros;
        this.backlogWaitMicros = backlogWaitMicros;
        lastActivityMicros = acceptedMicros;
    }

    void bytesReceived(long nowMicros) {
        lastActivityMicros = nowMicros;
        if (requestStartMicros == BETWEEN_REQUESTS) {
            requestStartMicros = nowMicros;
        }
    }

    /** The last byte of a request was read. */
    void requestReceived() {
        requestReceived = true;
        requestStartMicros = BETWEEN_REQUESTS;
    }

    void responseWritten(long nowMicros) {
        lastActivityMicros = nowMicros;
    }

    /** When bytes were last read or a response was last written; before that, when the connection was accepted. */
    long lastActivityMicros() {
        return lastActivityMicros;
    }

    /** Whether at least one whole request was read. */
    boolean hasReceivedRequest() {
        return requestReceived;
    }

    /** Whether a part of a request was read, but not its last byte. */
    boolean isReceivingRequest() {
        return requestStartMicros != BETWEEN_REQUESTS;
    }

    /**
     * The longest time, in microseconds, that the request whose last byte was just read can have waited in the accept
     * backlog together with its connection. 0 unless it is the connection's first request and was read right after the
     * connection was accepted. Must be called before {@link #requestReceived}.
     */
    long requestBacklogWaitMicros() {
        boolean prompt = lastActivityMicros - acceptedMicros < ReadTrackingEventLoop.MAX_READ_AGE_MICROS;
        return !requestReceived && prompt ? backlogWaitMicros : 0;
    }

    boolean isRequestTimedOut(long nowMicros) {
        long startMicros = requestReceived ? requestStartMicros : acceptedMicros;
        return isReceivingRequest() && nowMicros - startMicros > REQUEST_TIMEOUT_MICROS;
    }

    boolean isIdleTimedOut(long nowMicros) {
        long timeoutMicros = requestReceived ? IDLE_TIMEOUT_MICROS : REQUEST_TIMEOUT_MICROS;
        return !isReceivingRequest() && nowMicros - lastActivityMicros > timeoutMicros;
    }
}
