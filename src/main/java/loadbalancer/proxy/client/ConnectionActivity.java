package loadbalancer.proxy.client;

/**
 * Records when a client's connection was accepted and last used, and whether a request is partly received. All times
 * are in microseconds of the {@link loadbalancer.proxy.eventloop.MonotonicClock}. Confined to the event loop.
 */
final class ConnectionActivity {
    /**
     * How long it may take to receive a request completely. The time of the first request counts from the acceptance of
     * the connection, that of any later request from its first byte. A new connection may stay silent for the same
     * time.
     */
    private static final long REQUEST_TIMEOUT_MICROS = 2_000_000;
    /**
     * How long a connection may stay idle between requests. The protocol allows a sidecar to close it after that;
     * clients then connect again.
     */
    private static final long IDLE_TIMEOUT_MICROS = 4_000_000;

    private static final long NO_INCOMPLETE_REQUEST = 0;

    private final long acceptedMicros;
    private final long maxBacklogWaitMicros;
    private long lastActivityMicros;
    /** When the first byte of the incomplete request was read, or {@link #NO_INCOMPLETE_REQUEST}. */
    private long requestStartMicros = NO_INCOMPLETE_REQUEST;

    private boolean requestReceived;

    /** {@code maxBacklogWaitMicros} is the longest time that the connection can have waited in the accept backlog. */
    ConnectionActivity(long acceptedMicros, long maxBacklogWaitMicros) {
        this.acceptedMicros = acceptedMicros;
        this.maxBacklogWaitMicros = maxBacklogWaitMicros;
        lastActivityMicros = acceptedMicros;
    }

    void bytesReceived(long nowMicros) {
        lastActivityMicros = nowMicros;
        if (requestStartMicros == NO_INCOMPLETE_REQUEST) {
            requestStartMicros = nowMicros;
        }
    }

    /**
     * Records whether part of a request is left after the bytes just read have been decoded. The part may have been
     * read together with the end of the request before it, or the request may have been dropped without being handled.
     */
    void bytesDecoded(boolean partialRequest) {
        if (!partialRequest) {
            requestStartMicros = NO_INCOMPLETE_REQUEST;
        } else if (requestStartMicros == NO_INCOMPLETE_REQUEST) {
            requestStartMicros = lastActivityMicros;
        }
    }

    /** Records that the last byte of a request was read. */
    void requestReceived() {
        requestReceived = true;
        requestStartMicros = NO_INCOMPLETE_REQUEST;
    }

    void responseWritten(long nowMicros) {
        lastActivityMicros = nowMicros;
    }

    /**
     * Returns when bytes were last read or a response was last written; until then, when the connection was accepted.
     */
    long lastActivityMicros() {
        return lastActivityMicros;
    }

    /** Returns whether at least one request was read completely. */
    boolean hasReceivedRequest() {
        return requestReceived;
    }

    /** Returns whether the first but not the last byte of a request was read. */
    boolean isReceivingRequest() {
        return requestStartMicros != NO_INCOMPLETE_REQUEST;
    }

    /** Returns how long ago the first byte of the incomplete request was read, in microseconds; 0 if there is none. */
    long receivingMicros(long nowMicros) {
        return isReceivingRequest() ? nowMicros - requestStartMicros : 0;
    }

    /**
     * Returns the longest time, in microseconds, that the request whose last byte was just read can have waited in the
     * accept backlog together with its connection. Must be called before {@link #requestReceived}.
     *
     * @param lastReadMicros when the last read of all sockets began, without the one that is in progress
     */
    long maxRequestBacklogWaitMicros(long lastReadMicros) {
        return isInFirstRead(lastReadMicros) ? maxBacklogWaitMicros : 0;
    }

    /**
     * Returns the latest time at which the client can have sent the bytes that were just read, as far as that is known:
     * they were unread for some time if the event loop is late or cuts reads short, or since the acceptance.
     *
     * @param lastReadMicros when the last read of all sockets began, without the one that is in progress
     * @param maxUnreadMicros how long the event loop may have left the bytes unread
     */
    long sentMicros(long lastReadMicros, long maxUnreadMicros) {
        long earliestMicros = lastActivityMicros - maxUnreadMicros;
        return isInFirstRead(lastReadMicros) ? Math.min(acceptedMicros, earliestMicros) : earliestMicros;
    }

    /** Returns whether no request was received and no read of all sockets has been completed since the acceptance. */
    private boolean isInFirstRead(long lastReadMicros) {
        return !requestReceived && lastReadMicros <= acceptedMicros;
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
