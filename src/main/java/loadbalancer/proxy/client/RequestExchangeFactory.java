package loadbalancer.proxy.client;

import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;

/**
 * Makes the exchange of a received request: parses it and sets by when its response has to be written. Confined to the
 * event loop.
 */
final class RequestExchangeFactory {
    /**
     * A response is written at least this long before its client stops waiting. Where the event loop was recently later
     * than that, the margin is as long as the loop was late, up to a quarter of the time that the client waits.
     */
    private static final long MIN_RESPONSE_MARGIN_MICROS = 15_000;

    private static final int MAX_RESPONSE_MARGIN_DIVISOR = 4;
    /** A wait in the backlog is an upper bound: at most half of the remaining time is deducted for it. */
    private static final int MAX_BACKLOG_WAIT_DIVISOR = 2;

    private final ReadTrackingEventLoop eventLoop;
    private final RequestParser parser;
    private final RequestDispatcher dispatcher;
    private final GracefulShutdown shutdown;

    /** No deadline is later than the latest response of {@code shutdown}. */
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
