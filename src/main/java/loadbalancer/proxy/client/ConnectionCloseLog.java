package loadbalancer.proxy.client;

import loadbalancer.proxy.observability.LogRateLimit;
import loadbalancer.proxy.observability.SidecarLog;

/**
 * Logs why the sidecar closes connections of clients on its own, at most one line a second for each reason. Confined to
 * the event loop.
 */
final class ConnectionCloseLog {
    /** Why a connection is closed. */
    enum Reason {
        IDLE_TIMEOUT("idle_timeout"),
        /** A request was not received completely in time; the client gets status 408. */
        REQUEST_TIMEOUT("request_timeout"),
        /** The input is not a valid request; the client gets an error response. */
        INVALID_INPUT("invalid_input"),
        /** The request takes too long to decode while the event loop is short of time. */
        COSTLY_INPUT("costly_input"),
        TOO_MANY_PIPELINED_REQUESTS("too_many_pipelined_requests"),
        /** The unfinished messages of all peers together hold too much memory. */
        MEMORY_LIMIT("memory_limit"),
        /** The client does not read its responses. */
        RESPONSE_NOT_READ("response_not_read"),
        /** The maximum number of connections is reached. */
        EVICTED("evicted"),
        SHUTDOWN("shutdown");

        private final String logName;

        Reason(String logName) {
            this.logName = logName;
        }
    }

    private static final int MAX_LINES_PER_SECOND = 1;

    private final LogRateLimit[] limits = new LogRateLimit[Reason.values().length];

    ConnectionCloseLog() {
        for (int i = 0; i < limits.length; i++) {
            limits[i] = new LogRateLimit(MAX_LINES_PER_SECOND);
        }
    }

    /** Records that a connection is about to be closed. {@code clientAddress} is only for the log. */
    void closing(long nowMicros, Reason reason, Object clientAddress) {
        LogRateLimit limit = limits[reason.ordinal()];
        if (limit.allowsLine(nowMicros)) {
            SidecarLog.info("client_connection_closed reason=" + reason.logName + " client=" + clientAddress
                    + limit.suppressedLines());
        }
    }
}
