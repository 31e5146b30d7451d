package loadbalancer.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.Future;
import java.util.function.BooleanSupplier;
import java.util.function.LongFunction;
import loadbalancer.decision.AttemptOutcome;
import loadbalancer.decision.LoadReport;

/**
 * One request to an endpoint, which ends with exactly one outcome. Until the last byte of the request is written, the
 * endpoint can't have executed the request. Therefore most outcomes depend on whether the request has been written.
 * Times are in microseconds of the {@link loadbalancer.proxy.eventloop.MonotonicClock}. Confined to the event loop of
 * the {@link UpstreamConnectionPool} that starts the call.
 */
public final class UpstreamCall {
    private enum Kind {
        ATTEMPT,
        HEALTH_CHECK
    }

    private final Kind kind;
    private final String endpointId;
    private final long deadlineMicros;
    private final BooleanSupplier clientInputRead;
    private final LongFunction<FullHttpRequest> requestFactory;
    private final UpstreamCallListener listener;

    private long startedMicros;
    /** 0 until {@link #recordEndTime} is called. */
    private long endedMicros;
    /** Null until the call is started. */
    private UpstreamEndpoint endpoint;

    /** Null until the call is started. */
    private Future<?> deadlineTimer;
    /** Null until an idle connection is selected or a new connection is opened. */
    private Channel channel;

    private boolean written;
    /** Null until the call has ended. */
    private AttemptOutcome outcome;

    private UpstreamCall(
            Kind kind,
            String endpointId,
            long deadlineMicros,
            BooleanSupplier clientInputRead,
            LongFunction<FullHttpRequest> requestFactory,
            UpstreamCallListener listener) {
        this.kind = kind;
        this.endpointId = endpointId;
        this.deadlineMicros = deadlineMicros;
        this.clientInputRead = clientInputRead;
        this.requestFactory = requestFactory;
        this.listener = listener;
    }

    /**
     * Creates a call that forwards a client's request.
     *
     * @param clientInputRead returns whether all input of the client has been read, so that it is known whether the
     *     client has disconnected; until then the call is not written
     * @param requestFactory creates the request just before it is written; its argument is the time left until the
     *     deadline, in microseconds
     */
    public static UpstreamCall attempt(
            String endpointId,
            long deadlineMicros,
            BooleanSupplier clientInputRead,
            LongFunction<FullHttpRequest> requestFactory,
            UpstreamCallListener listener) {
        return new UpstreamCall(Kind.ATTEMPT, endpointId, deadlineMicros, clientInputRead, requestFactory, listener);
    }

    /** Creates a call that requests the load report of an endpoint, which is the body of the response. */
    public static UpstreamCall healthCheck(
            String endpointId,
            long deadlineMicros,
            LongFunction<FullHttpRequest> requestFactory,
            UpstreamCallListener listener) {
        return new UpstreamCall(Kind.HEALTH_CHECK, endpointId, deadlineMicros, () -> true, requestFactory, listener);
    }

    /** Returns the id of the endpoint to which the call is sent. */
    public String endpointId() {
        return endpointId;
    }

    /** Returns when the call was started. */
    public long startedMicros() {
        return startedMicros;
    }

    /** Returns when the call ended, or 0 before {@link #recordEndTime} is called. */
    public long endedMicros() {
        return endedMicros;
    }

    /** Records when the call ended. The time is used only in the log. */
    public void recordEndTime(long timeMicros) {
        endedMicros = timeMicros;
    }

    /** Returns whether the call has ended and its outcome is known. */
    public boolean hasEnded() {
        return outcome != null;
    }

    /** Returns the outcome, or null if the call has not ended. */
    public AttemptOutcome outcome() {
        return outcome;
    }

    /**
     * Cancels the call and closes its connection, so that a late response can't be mistaken for that of another call.
     */
    public void cancel() {
        abort(AttemptOutcome.CANCELLED);
    }

    /** Ends the call as {@link AttemptOutcome#NOT_SENT}; has no effect if its request has already been written. */
    public void withdraw() {
        if (!written) {
            abort(AttemptOutcome.NOT_SENT);
        }
    }

    /** Ends the call as {@link AttemptOutcome#NOT_SENT} without starting it. */
    public void endAsNotSent(long nowMicros) {
        startedMicros = nowMicros;
        end(AttemptOutcome.NOT_SENT);
    }

    boolean isHealthCheck() {
        return kind == Kind.HEALTH_CHECK;
    }

    long deadlineMicros() {
        return deadlineMicros;
    }

    /** Creates the request to send, which contains the time left until the deadline. */
    FullHttpRequest createRequest(long nowMicros) {
        return requestFactory.apply(deadlineMicros - nowMicros);
    }

    void start(long nowMicros, UpstreamEndpoint currentEndpoint, Future<?> timer) {
        startedMicros = nowMicros;
        endpoint = currentEndpoint;
        deadlineTimer = timer;
    }

    UpstreamEndpoint endpoint() {
        return endpoint;
    }

    /** Sets the channel of the connection that the call uses. The connection may not be established yet. */
    void setChannel(Channel callChannel) {
        channel = callChannel;
    }

    void closeConnection() {
        if (channel != null) {
            channel.close();
        }
    }

    void onRequestWritten() {
        written = true;
    }

    /** Returns whether the last byte of the request has been written. */
    public boolean isWritten() {
        return written;
    }

    /** Closes the connection and ends the call; has no effect if the call has already ended. */
    void abort(AttemptOutcome abortOutcome) {
        if (!hasEnded()) {
            closeConnection();
            end(abortOutcome);
        }
    }

    void onConnectionLost() {
        end(written ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED);
    }

    void onMalformedResponse() {
        end(written ? AttemptOutcome.MALFORMED_RESPONSE : AttemptOutcome.CONNECT_FAILED);
    }

    /**
     * Returns whether the call need not wait for its client's input: all of it has been read, or the call has ended.
     */
    boolean isClientInputRead() {
        return hasEnded() || clientInputRead.getAsBoolean();
    }

    void onDeadline() {
        if (written) {
            abort(AttemptOutcome.TIMEOUT);
        } else {
            // A client whose input takes too long to read is no fault of the endpoint.
            abort(isClientInputRead() ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.NOT_SENT);
        }
    }

    /** Ends the call without a response. */
    void end(AttemptOutcome finalOutcome) {
        end(finalOutcome, null, null);
    }

    /**
     * Ends the call and notifies the listener; has no effect if the call has already ended. The caller releases
     * {@code body}; the listener may retain it.
     */
    void end(AttemptOutcome finalOutcome, LoadReport loadReport, ByteBuf body) {
        if (hasEnded()) {
            return;
        }
        outcome = finalOutcome;
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        listener.onCallEnded(this, finalOutcome, loadReport, body);
    }
}
