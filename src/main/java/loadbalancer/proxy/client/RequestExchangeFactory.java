package loadbalancer.proxy.client;

import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;

/**
 * Creates the exchange for a received request: parses the request and computes when its response has to be written.
 * Confined to the event loop.
 */
final class RequestExchangeFactory {
    /**
     * The deadline is at least this long before the client stops waiting. If the event loop was recently later than
     * this, the margin is as long as that lag. It is never more than a quarter of the time that the client waits.
     */
    private static final long MIN_RESPONSE_MARGIN_MICROS = 15_000;

    private static final int MAX_RESPONSE_MARGIN_DIVISOR = 4;
    /**
     * The wait in the backlog is only known as an upper bound, so at most half of the remaining time is deducted for
     * it.
     */
    private static final int MAX_BACKLOG_WAIT_DIVISOR = 2;

    private final ReadTrackingEventLoop eventLoop;
    private final RequestParser parser;
    private final RequestDispatcher dispatcher;
    private final GracefulShutdown shutdown;

    /** Deadlines are never later than {@link GracefulShutdown#latestResponseMicros}. */
    RequestExchangeFactory(
            ReadTrackingEventLoop eventLoop,
            RequestParser parser,
            RequestDispatcher dispatcher,
            GracefulShutdown shutdown) {
        this.eventLoop = eventLoop;
        this.parser = parser;
        this.dispatcher = dispatcher;
        this.shutdown = shutdown;
    }

    /**
     * Creates the exchange.
     *
     * @throws InvalidRequestException if the request is invalid, or an open request has the same id
     */
    RequestExchange create(ReceivedRequest received, ResponseHandler responseHandler) throws InvalidRequestException {
        ParsedRequest parsed = parser.parse(received.message());
        if (dispatcher.isOpen(parsed.id())) {
            throw new InvalidRequestException("the request id is in use");
        }
        long deadlineMicros = deadlineMicros(received, parsed.remainingMicros());
        long untilDeadlineMicros = deadlineMicros - eventLoop.clock().nowMicros();
        return new RequestExchange(
                parsed.toRequest(untilDeadlineMicros), parsed.payload(), deadlineMicros, responseHandler);
    }

    private long deadlineMicros(ReceivedRequest received, long remainingMicros) {
        long marginMicros = Math.min(
                Math.max(MIN_RESPONSE_MARGIN_MICROS, eventLoop.recentLagMicros()),
                remainingMicros / MAX_RESPONSE_MARGIN_DIVISOR);
        long backlogWaitMicros = Math.min(received.backlogWaitMicros(), remainingMicros / MAX_BACKLOG_WAIT_DIVISOR);
        long sentMicros = received.sentMicros() - backlogWaitMicros;
        return Math.min(shutdown.latestResponseMicros(), sentMicros + remainingMicros - marginMicros);
    }
}
