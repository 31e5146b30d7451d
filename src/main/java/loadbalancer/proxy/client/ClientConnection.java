package loadbalancer.proxy.client;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import loadbalancer.proxy.client.ConnectionCloseLog.Reason;
import loadbalancer.proxy.eventloop.MonotonicClock;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import loadbalancer.proxy.memory.PeerGroup;
import loadbalancer.proxy.observability.SidecarLog;

/**
 * One connection of a client. Handles the requests one at a time, in the order in which they were received, and writes
 * one response to each. It is the last handler in the pipeline of its channel. Confined to the event loop.
 *
 * <p>For input that can't be decoded as a request, an error response is written after the responses that are still
 * pending; then the connection closes. A client that closes the connection, or only its sending side, counts as
 * disconnected: its request ends without a response.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements RequestSource {
    private enum State {
        AWAITING_REQUEST,
        /** A request is being handled and has no response yet. */
        RESPONSE_PENDING,
        /** The last response has been written; further input is ignored. */
        CLOSING
    }

    private final Channel channel;
    private final ReadTrackingEventLoop eventLoop;
    private final MonotonicClock clock;
    private final RequestDispatcher dispatcher;
    private final RequestExchangeFactory exchangeFactory;
    private final SidecarHttpServer server;
    private final ConnectionActivity activity;
    private final PipelinedRequests pipelinedRequests = new PipelinedRequests();
    private final RequestInput input = new RequestInput(this::hasUnansweredRequest);
    private final RequestTurns turns;
    private final UnsentResponses unsentResponses;
    private final ConnectionMemory memory;
    private State state = State.AWAITING_REQUEST;
    /** The dispatched request that has no response yet; null if there is none. */
    private RequestExchange currentExchange;

    private final IdleCount idleCount;
    private final RecentRequestIds.Share recentIds = new RecentRequestIds.Share();
    /**
     * The status of the error response that is written after all pending responses, before closing; null while the
     * input is valid.
     */
    private HttpResponseStatus inputError;

    /** {@code maxBacklogWaitMicros} is the longest time that the connection can have waited in the accept backlog. */
    ClientConnection(
            Channel channel,
            ReadTrackingEventLoop eventLoop,
            RequestDispatcher dispatcher,
            RequestExchangeFactory exchangeFactory,
            SidecarHttpServer server,
            long maxBacklogWaitMicros) {
        this.channel = channel;
        this.eventLoop = eventLoop;
        clock = eventLoop.clock();
        this.dispatcher = dispatcher;
        this.exchangeFactory = exchangeFactory;
        this.server = server;
        idleCount = new IdleCount(server);
        activity = new ConnectionActivity(clock.nowMicros(), maxBacklogWaitMicros);
        turns = new RequestTurns(channel.eventLoop(), this::handlePipelinedRequests);
        unsentResponses = new UnsentResponses(channel, this::unsentResponsesChanged);
        memory = new ConnectionMemory(
                input,
                pipelinedRequests,
                unsentResponses,
                server.messageMemory().openAccount(PeerGroup.CLIENTS, this::freeMemory));
    }

    void addHandlers() {
        input.addHandlers(channel.pipeline(), this);
    }

    boolean acceptsRequests() {
        return inputError == null && state != State.CLOSING;
    }

    void bytesReceived() {
        activity.bytesReceived(clock.nowMicros());
    }

    /** Records whether part of a request is left after the received bytes have been decoded. */
    void bytesDecoded(boolean partialRequest) {
        activity.bytesDecoded(partialRequest);
    }

    /**
     * Rejects the incomplete request if the event loop has less time for reading than its connections need. Called if
     * that request takes far more time to decode than an ordinary one: whoever uses the most of the time pays for it,
     * so that the others are still read.
     */
    void rejectCostlyRequestIfTimeIsShort() {
        if (eventLoop.lacksReadTime()) {
            rejectInput(HttpResponseStatus.SERVICE_UNAVAILABLE, Reason.COSTLY_INPUT);
        }
    }

    /** Accounts for what the connection holds now, and lets connections free memory if all hold too much. */
    void updateMemory() {
        memory.update();
        server.messageMemory().enforceLimit();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!acceptsRequests()) {
            ReferenceCountUtil.release(message);
            return;
        }
        FullHttpRequest request = (FullHttpRequest) message;
        if (!request.decoderResult().isSuccess()) {
            request.release();
            rejectInput(HttpResponseStatus.BAD_REQUEST, Reason.INVALID_INPUT);
            return;
        }
        long lastReadMicros = eventLoop.lastReadMicros();
        long sentMicros = activity.sentMicros(lastReadMicros, eventLoop.maxUnreadMicros(channel));
        long maxBacklogWaitMicros = activity.maxRequestBacklogWaitMicros(lastReadMicros);
        ReceivedRequest received = new ReceivedRequest(request, sentMicros, maxBacklogWaitMicros);
        pipelinedRequests.add(isReadyForNextRequest() ? received : received.withCopiedBody());
        activity.requestReceived();
        handlePipelinedRequests();
        if (pipelinedRequests.exceedsLimit()) {
            rejectInput(HttpResponseStatus.SERVICE_UNAVAILABLE, Reason.TOO_MANY_PIPELINED_REQUESTS);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        turns.readCompleted();
        context.fireChannelReadComplete();
    }

    /**
     * Accepts no further requests. Writes the error response after the pending responses, then closes the connection.
     * Has no effect after an earlier error.
     */
    private void rejectInput(HttpResponseStatus error, Reason reason) {
        if (inputError == null) {
            inputError = error;
            server.closeLog().closing(clock.nowMicros(), reason, channel.remoteAddress());
            handlePipelinedRequests();
        }
    }

    private void handlePipelinedRequests() {
        while (isReadyForNextRequest() && !pipelinedRequests.isEmpty()) {
            if (!turns.tryTake()) {
                return;
            }
            handle(pipelinedRequests.poll());
        }
        if (isReadyForNextRequest() && inputError != null) {
            state = State.RESPONSE_PENDING;
            write(ClientResponse.withoutBody(inputError), ConnectionReuse.CLOSE);
        }
    }

    private boolean isReadyForNextRequest() {
        return state == State.AWAITING_REQUEST && channel.isActive() && channel.isWritable();
    }

    private void handle(ReceivedRequest received) {
        FullHttpRequest message = received.message();
        state = State.RESPONSE_PENDING;
        idleCount.remove();
        try {
            route(received);
        } catch (RuntimeException e) {
            SidecarLog.error("request_handler_failed request=" + RequestParser.requestId(message), e);
            if (state == State.RESPONSE_PENDING) {
                write(
                        ClientResponse.withoutBody(HttpResponseStatus.INTERNAL_SERVER_ERROR),
                        ConnectionReuse.requestedBy(message));
            }
        } finally {
            message.release();
        }
    }

    private void route(ReceivedRequest received) {
        ClientResponse localResponse = server.localResponses().responseTo(received);
        if (localResponse == null) {
            dispatch(received);
        } else {
            write(localResponse, ConnectionReuse.requestedBy(received.message()));
        }
    }

    private void dispatch(ReceivedRequest received) {
        if (server.messageMemory().isExhausted(PeerGroup.CLIENTS)) {
            server.messageMemory().requestRejected();
            write(ClientResponse.rejected(), ConnectionReuse.requestedBy(received.message()));
            return;
        }
        try {
            currentExchange = exchangeFactory.create(
                    received,
                    this,
                    new FinalResponseWriter(this::write, ConnectionReuse.requestedBy(received.message())));
        } catch (InvalidRequestException e) {
            write(ClientResponse.withoutBody(HttpResponseStatus.BAD_REQUEST), ConnectionReuse.CLOSE);
            return;
        }
        server.requestAccepted();
        memory.requestHandlingStarted(currentExchange.payload().sizeBytes());
        dispatcher.dispatch(currentExchange);
    }

    /**
     * Writes a final response. Keeps the connection open only if the client requested that and the server allows it.
     */
    private void write(ClientResponse response, ConnectionReuse requestedReuse) {
        boolean keepAlive = requestedReuse == ConnectionReuse.KEEP_ALIVE && serverAllowsReuse();
        currentExchange = null;
        memory.requestHandlingEnded();
        state = keepAlive ? State.AWAITING_REQUEST : State.CLOSING;
        activity.responseWritten(clock.nowMicros());
        long responseBytes = response.sizeBytes();
        ChannelFuture written = channel.writeAndFlush(
                response.toHttpResponse(keepAlive ? ConnectionReuse.KEEP_ALIVE : ConnectionReuse.CLOSE));
        unsentResponses.add(written, responseBytes, clock.nowMicros());
        memory.update();
        if (!keepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
            return;
        }
        if (channel.isActive()) {
            idleCount.add();
        }
        if (!pipelinedRequests.isEmpty() || inputError != null) {
            // This response may be written from within the handling of its request.
            turns.schedule();
        }
    }

    /**
     * Returns whether the connection may stay open after a response. While pipelined requests are waiting, it stays
     * open even during a shutdown, because they were accepted and have to be answered.
     */
    private boolean serverAllowsReuse() {
        return !pipelinedRequests.isEmpty() || server.mayKeepIdleConnection();
    }

    private void unsentResponsesChanged() {
        memory.update();
    }

    /** Resumes the handling of pipelined requests once the client has read the responses before them. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (!pipelinedRequests.isEmpty() || inputError != null) {
            // This event may occur within the writing of a response.
            turns.schedule();
        }
        context.fireChannelWritabilityChanged();
    }

    /**
     * Frees what this connection holds because all connections together hold too much. A client that does not read its
     * responses loses its connection. Otherwise requests that are complete are rejected, and so is the incomplete one.
     */
    private void freeMemory() {
        if (unsentResponses.bytes() > memory.waitingRequestBytes()) {
            memory.close();
            close(Reason.MEMORY_LIMIT);
            return;
        }
        pipelinedRequests.rejectAll();
        rejectInput(HttpResponseStatus.SERVICE_UNAVAILABLE, Reason.MEMORY_LIMIT);
        input.discard(channel.pipeline());
        memory.update();
    }

    @Override
    public boolean isInputRead() {
        return !eventLoop.mayHaveUnreadInput(channel);
    }

    @Override
    public RecentRequestIds.Share recentIds() {
        return recentIds;
    }

    /** Returns whether a request that was received completely has no response yet. */
    private boolean hasUnansweredRequest() {
        return state == State.RESPONSE_PENDING || !pipelinedRequests.isEmpty();
    }

    /** Returns whether a request that was received completely has no response yet, or one that is not sent. */
    boolean hasPendingResponse() {
        return hasUnansweredRequest() || unsentResponses.bytes() > 0;
    }

    /** Returns whether no response is pending and no part of a further request has been read. */
    private boolean isBetweenRequests() {
        return !hasPendingResponse() && !activity.isReceivingRequest();
    }

    /**
     * Returns the connection as a candidate for an eviction, or null if it must not be closed: a response is pending,
     * it is about to close, or it has been used too recently.
     *
     * @param readMicros when the last read of all sockets began
     */
    EvictionCandidate evictionCandidate(long readMicros) {
        if (hasPendingResponse() || inputError != null) {
            return null;
        }
        boolean used = activity.hasReceivedRequest() || activity.isReceivingRequest();
        long silentMicros = isInputRead() ? readMicros - activity.lastActivityMicros() : 0;
        return EvictionCandidate.of(this, used, silentMicros, activity.receivingMicros(readMicros));
    }

    /** Makes room for another client: rejects the incomplete request, or closes the connection between requests. */
    void evict() {
        if (isBetweenRequests()) {
            close(Reason.EVICTED);
        } else {
            rejectInput(HttpResponseStatus.SERVICE_UNAVAILABLE, Reason.EVICTED);
        }
    }

    /**
     * Responds with 408 if a request is not received completely in time, and closes the connection if it has been idle
     * for too long. While a response is pending, only closes a connection whose client does not read.
     */
    void closeIfTimedOut(long nowMicros) {
        if (unsentResponses.isStalled(nowMicros)) {
            close(Reason.RESPONSE_NOT_READ);
            return;
        }
        if (hasPendingResponse()) {
            return;
        }
        if (activity.isRequestTimedOut(nowMicros)) {
            rejectInput(HttpResponseStatus.REQUEST_TIMEOUT, Reason.REQUEST_TIMEOUT);
        } else if (inputError == null && activity.isIdleTimedOut(nowMicros)) {
            close(Reason.IDLE_TIMEOUT);
        }
    }

    /**
     * Closes the connection for the shutdown if no response is pending and its last activity was before a cutoff time.
     *
     * @param idleCutoffMicros the cutoff for a connection between requests
     * @param receivingCutoffMicros the cutoff for a connection that has received only part of a request
     */
    void closeIfInactive(long idleCutoffMicros, long receivingCutoffMicros) {
        long cutoffMicros = isBetweenRequests() ? idleCutoffMicros : receivingCutoffMicros;
        if (!hasPendingResponse() && activity.lastActivityMicros() < cutoffMicros) {
            close(Reason.SHUTDOWN);
        }
    }

    void close(Reason reason) {
        server.closeLog().closing(clock.nowMicros(), reason, channel.remoteAddress());
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        memory.close();
        idleCount.remove();
        pipelinedRequests.clear();
        if (currentExchange != null) {
            RequestExchange disconnected = currentExchange;
            currentExchange = null;
            dispatcher.clientDisconnected(disconnected);
        }
    }

    /** Handles exceptions from all handlers of the pipeline, and I/O errors of the channel. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof CodecException invalidInput) {
            rejectInput(RequestInput.errorStatus(invalidInput), Reason.INVALID_INPUT);
        } else {
            if (!(cause instanceof IOException)) {
                SidecarLog.error("client_connection_failed", cause);
            }
            context.close();
        }
    }
}
