package loadbalancer.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.Future;
import java.util.function.LongFunction;
import loadbalancer.decision.AttemptOutcome;
import loadbalancer.decision.LoadReport;

/**
 * One request to an endpoint, from its creation to its one outcome. Until its last byte is written a call has not run
 * for certain; most of the outcomes depend on that. Times are module times in microseconds. Owned by the event loop of
 * the {@link UpstreamConnectionPool} that it is started on.
 */
public final class UpstreamCall {
    private enum Kind {
        ATTEMPT,
        HEALTH_CHECK
    }

    private final Kind kind;
    private final String endpoint;
    private final long deadlineMicros;
    private final LongFunction<FullHttpRequest> requestFactory;
    private final UpstreamCallListener listener;

    private long sentMicros;
    /** 0 where the end was not noted. */
    private long endedMicros;
    /** The endpoint as it was listed at the start. Null until then. */
    private UpstreamEndpoint target;

    private Future<?> timeout;
    /** Null until a connection was chosen or dialed. */
    private Channel channel;

    private boolean written;
    /** Null until the end. */
    private AttemptOutcome outcome;

    private UpstreamCall(
            Kind kind,
            String endpoint,
            long deadlineMicros,
            LongFunction<FullHttpRequest> requestFactory,
            UpstreamCallListener listener) {
        this.kind = kind;
        this.endpoint = endpoint;
        this.deadlineMicros = deadlineMicros;
        this.requestFactory = requestFactory;
        this.listener = listener;
    }

    /**
     * A client's request, forwarded.
     *
     * @param requestFactory makes the message when it is written, from the microseconds until the deadline
     */
    public static UpstreamCall attempt(
            String endpoint,
            long deadlineMicros,
            LongFunction<FullHttpRequest> requestFactory,
            UpstreamCallListener listener) {
        return new UpstreamCall(Kind.ATTEMPT, endpoint, deadlineMicros, requestFactory, listener);
    }

    /** A request for the endpoint's load report, which is the body of the response. */
    public static UpstreamCall healthCheck(
            String endpoint,
            long deadlineMicros,
            LongFunction<FullHttpRequest> requestFactory,
            UpstreamCallListener listener) {
        return new UpstreamCall(Kind.HEALTH_CHECK, endpoint, deadlineMicros, requestFactory, listener);
    }

    /** The id of the endpoint that the call goes to. */
    public String endpoint() {
        return endpoint;
    }

    /** When the call was started. */
    public long sentMicros() {
        return sentMicros;
    }

    /** When the end of the call was noted; 0 where nobody noted it. */
    public long endedMicros() {
        return endedMicros;
    }

    /** Notes the end for the log; the outcome does not depend on it. */
    public void noteEnd(long timeMicros) {
        endedMicros = timeMicros;
    }

    /** Whether the call has its outcome. */
    public boolean ended() {
        return outcome != null;
    }

    /** Null until the call has ended. */
    public AttemptOutcome outcome() {
        return outcome;
    }

    /** Gives the call up; its connection is closed, so that a late response reaches nobody. */
    public void cancel() {
        abort(AttemptOutcome.CANCELLED);
    }

    /** Gives the call up unless its request was written: it has not run, and now it never will. */
    public void withdraw() {
        if (!written) {
            abort(AttemptOutcome.NOT_SENT);
        }
    }

    /** Ends a call that is not to be started at all. */
    public void endUnsent(long nowMicros) {
        sentMicros = nowMicros;
        end(AttemptOutcome.NOT_SENT);
    }

    boolean isHealthCheck() {
        return kind == Kind.HEALTH_CHECK;
    }

    long deadlineMicros() {
        return deadlineMicros;
    }

    /** The message to send, made for the time that is left now. */
    FullHttpRequest createRequest(long nowMicros) {
        return requestFactory.apply(deadlineMicros - nowMicros);
    }

    void start(long nowMicros, UpstreamEndpoint listed, Future<?> deadlineTimer) {
        sentMicros = nowMicros;
        target = listed;
        timeout = deadlineTimer;
    }

    UpstreamEndpoint target() {
        return target;
    }

    /** From now on the call uses {@code connection}, which may still be coming up. */
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

    /** Ends the call unless it has ended, and closes its connection. */
    void abort(AttemptOutcome abortOutcome) {
        if (!ended()) {
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

    /** Ends the call unless it has ended. The listener may retain {@code body}; the caller releases it. */
    void end(AttemptOutcome finalOutcome, LoadReport loadReport, ByteBuf body) {
        if (ended()) {
            return;
        }
        outcome = finalOutcome;
        if (timeout != null) {
            timeout.cancel(false);
        }
        listener.callEnded(this, finalOutcome, loadReport, body);
    }
}
