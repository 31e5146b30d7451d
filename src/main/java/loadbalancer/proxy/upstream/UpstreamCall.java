package loadbalancer.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.Future;
import java.util.function.LongFunction;
import loadbalancer.decision.AttemptOutcome;
import loadbalancer.decision.LoadReport;

/**
 * One request to an endpoint, from its creation to its one outcome. As long as its last byte is not written, it is
 * certain that the endpoint has not run it; most outcomes depend on that. Times are in microseconds of the
 * {@link loadbalancer.proxy.eventloop.MonotonicClock}. Confined to the event loop of the {@link UpstreamConnectionPool}
 * that it is started on.
 */
public final class UpstreamCall {
    private enum Kind {
        ATTEMPT,
        HEALTH_CHECK
    }

    private final Kind kind;
    private final String endpointId;
    private final long deadlineMicros;
    private final LongFunction<FullHttpRequest> requestFactory;
    private final UpstreamCallListener listener;

    private long startedMicros;
    /** 0 until the end is recorded; see {@link #recordEnd}. */
    private long endedMicros;
    /** The endpoint process that the call goes to; null until the call is started. */
    private UpstreamEndpoint target;

    private Future<?> timeout;
    /** Null until an idle connection is chosen or a new one is opened. */
    private Channel channel;

    private boolean written;
    /** Null until the call has ended. */
    private AttemptOutcome outcome;

    private UpstreamCall(
            Kind kind,
            String endpointId,
            long deadlineMicros,
            LongFunction<FullHttpRequest> requestFactory,
            UpstreamCallListener listener) {
        this.kind = kind;
        this.endpointId = endpointId;
        this.deadlineMicros = deadlineMicros;
        this.requestFactory = requestFactory;
        this.listener = listener;
    }

    /**
     * Creates a call that forwards a client's request.
     *
     * @param requestFactory creates the message just before it is written; its argument is the microseconds left until
     *     the deadline
     */
    public static UpstreamCall attempt(
            String endpointId,
            long deadlineMicros,
            LongFunction<FullHttpRequest> requestFactory,
            UpstreamCallListener listener) {
        return new UpstreamCall(Kind.ATTEMPT, endpointId, deadlineMicros, requestFactory, listener);
    }

    /** Creates a request for the endpoint's load report, which is the body of the response. */
    public static UpstreamCall healthCheck(
            String endpointId,
            long deadlineMicros,
            LongFunction<FullHttpRequest> requestFactory,
            UpstreamCallListener listener) {
        return new UpstreamCall(Kind.HEALTH_CHECK, endpointId, deadlineMicros, requestFactory, listener);
    }

    /** The id of the endpoint that the call goes to. */
    public String endpointId() {
        return endpointId;
    }

    /** When the call was started. */
    public long startedMicros() {
        return startedMicros;
    }

    /** When the call ended; 0 until {@link #recordEnd} is called. */
    public long endedMicros() {
        return endedMicros;
    }

    /** Records when the call ended. Only used in the log. */
    public void recordEnd(long timeMicros) {
        endedMicros = timeMicros;
    }

    /** Whether the call has ended, so that its outcome is known. */
    public boolean hasEnded() {
        return outcome != null;
    }

    /** Null until the call has ended. */
    public AttemptOutcome outcome() {
        return outcome;
    }

    /** Cancels the call and closes its connection, so that a late response can't be mistaken for another call's. */
    public void cancel() {
        abort(AttemptOutcome.CANCELLED);
    }

    /** Ends the call as {@link AttemptOutcome#NOT_SENT} if its request is not written yet; otherwise has no effect. */
    public void withdraw() {
        if (!written) {
            abort(AttemptOutcome.NOT_SENT);
        }
    }

    /** Ends a call as {@link AttemptOutcome#NOT_SENT} instead of starting it. */
    public void endUnsent(long nowMicros) {
        startedMicros = nowMicros;
        end(AttemptOutcome.NOT_SENT);
    }

    boolean isHealthCheck() {
        return kind == Kind.HEALTH_CHECK;
    }

    long deadlineMicros() {
        return deadlineMicros;
    }

    /** Creates the message to send, which states the time left until the deadline. */
    FullHttpRequest createRequest(long nowMicros) {
        return requestFactory.apply(deadlineMicros - nowMicros);
    }

    void start(long nowMicros, UpstreamEndpoint listed, Future<?> deadlineTimer) {
        startedMicros = nowMicros;
        target = listed;
        timeout = deadlineTimer;
    }

    UpstreamEndpoint target() {
        return target;
    }

    /** Sets the connection that the call uses; it may not be established yet. */
    void useConnection(Channel connection) {
        channel = connection;
    }

    void closeConnection() {
        if (channel != null) {
            channel.close();
        }
    }

    void requestWritten() {
        written = true;
    }

    /** Whether the last byte of the request was written. */
    boolean isWritten() {
        return written;
    }

    /** Closes the connection and ends the call; has no effect if the call has already ended. */
    void abort(AttemptOutcome abortOutcome) {
        if (!hasEnded()) {
            closeConnection();
            end(abortOutcome);
        }
    }

    void connectionLost() {
        end(written ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED);
    }

    void malformedResponse() {
        end(written ? AttemptOutcome.MALFORMED_RESPONSE : AttemptOutcome.CONNECT_FAILED);
    }

    void timedOut() {
        abort(written ? AttemptOutcome.TIMEOUT : AttemptOutcome.CONNECT_FAILED);
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
        if (timeout != null) {
            timeout.cancel(false);
        }
        listener.callEnded(this, finalOutcome, loadReport, body);
    }
}
