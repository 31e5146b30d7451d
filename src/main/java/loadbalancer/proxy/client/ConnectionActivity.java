package loadbalancer.proxy.client;

import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;

/**
 * When a client's connection was accepted and last used, and whether it is in the middle of a request. All times are in
 * microseconds of the {@link loadbalancer.proxy.eventloop.MonotonicClock}. Confined to the event loop.
 */
final class ConnectionActivity {
    /** The time for the first request to begin, and for any request from its first byte to its last. */
    private static final long REQUEST_TIMEOUT_MICROS = 2_000_000;
    /** The protocol lets a sidecar close connections between requests; clients then connect again. */
    private static final long IDLE_TIMEOUT_MICROS = 4_000_000;

    private static final long BETWEEN_REQUESTS = 0;

    private final long acceptedMicros;
    private final long backlogWaitMicros;
    private long lastActivityMicros;
    /** When the first byte of the incomplete request was read. */
    private long requestStartMicros = BETWEEN_REQUESTS;

    private boolean requestReceived;

    /** {@code backlogWaitMicros} is how long the connection waited, at most, to be accepted. */
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
     * How long the request whose last byte was just read may have waited with its connection to be accepted; 0 unless
     * it is the first and was there right after the connection was accepted. Call before {@link #requestReceived}.
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
