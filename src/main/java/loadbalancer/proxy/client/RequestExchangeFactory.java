package loadbalancer.proxy.client;

import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;

/**
 * Creates the exchange for a received request: parses the request and computes its deadline, by which the response has
 * to be written. Confined to the event loop.
 */
final class RequestExchangeFactory {
    /**
     * The minimum margin between a request's deadline and the time at which the client stops waiting. If the recent lag
     * of the event loop is longer, the margin is as long as that lag. {@link #RESPONSE_MARGIN_LIMIT_DIVISOR} limits the
     * margin in both cases.
     */
    private static final long MIN_RESPONSE_MARGIN_MICROS = 15_000;

    /** The margin is at most the time that the client waits, divided by this. */
    private static final int RESPONSE_MARGIN_LIMIT_DIVISOR = 4;
    /**
     * The wait in the accept backlog makes the deadline earlier by at most the time that the client waits, divided by
     * this, because only an upper bound of the wait is known.
     */
    private static final int BACKLOG_WAIT_LIMIT_DIVISOR = 2;

    private final ReadTrackingEventLoop eventLoop;
    private final RequestParser parser;
    private final RequestDispatcher dispatcher;
    private final RecentRequestIds recentRequestIds;
    private final GracefulShutdown shutdown;

    /** {@code shutdown} limits the deadlines to {@link GracefulShutdown#latestResponseMicros}. */
    RequestExchangeFactory(
            ReadTrackingEventLoop eventLoop,
            RequestParser parser,
            RequestDispatcher dispatcher,
            RecentRequestIds recentRequestIds,
            GracefulShutdown shutdown) {
        this.eventLoop = eventLoop;
        this.parser = parser;
        this.dispatcher = dispatcher;
        this.recentRequestIds = recentRequestIds;
        this.shutdown = shutdown;
    }

    /**
     * Creates the exchange for a request.
     *
     * @param source the connection that the request came from
     * @param responseHandler receives the response
     * @throws InvalidRequestException if the request is invalid, an open request has the same id, or a former one had
     *     it that may have been executed
     */
    RequestExchange create(ReceivedRequest received, RequestSource source, ResponseHandler responseHandler)
            throws InvalidRequestException {
        ParsedRequest parsed = parser.parse(received.message());
        if (dispatcher.isOpen(parsed.id())) {
            throw new InvalidRequestException("expected a request id that no other open request has");
        }
        if (recentRequestIds.contains(parsed.id())) {
            throw new InvalidRequestException("expected a request id that no executed request had");
        }
        long deadlineMicros = deadlineMicros(received, parsed.remainingMicros());
        long untilDeadlineMicros = deadlineMicros - eventLoop.clock().nowMicros();
        return new RequestExchange(
                parsed.toRequest(untilDeadlineMicros), parsed.payload(), deadlineMicros, source, responseHandler);
    }

    private long deadlineMicros(ReceivedRequest received, long remainingMicros) {
        long marginMicros = Math.min(
                Math.max(MIN_RESPONSE_MARGIN_MICROS, eventLoop.recentLagMicros()),
                remainingMicros / RESPONSE_MARGIN_LIMIT_DIVISOR);
        long backlogWaitMicros =
                Math.min(received.maxBacklogWaitMicros(), remainingMicros / BACKLOG_WAIT_LIMIT_DIVISOR);
        long sentMicros = received.sentMicros() - backlogWaitMicros;
        return Math.min(shutdown.latestResponseMicros(), sentMicros + remainingMicros - marginMicros);
    }
}
