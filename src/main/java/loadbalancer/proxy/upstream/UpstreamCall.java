package loadbalancer.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.Future;
import java.util.function.LongFunction;
import loadbalancer.decision.AttemptOutcome;
import loadbalancer.decision.LoadReport;

/** One message to an upstream, until its outcome. */
public final class UpstreamCall {
    private final String upstream;
    final long untilUs;
    /** Makes the message, told how long an answer is waited for. */
    final LongFunction<FullHttpRequest> message;

    private final UpstreamCallListener result;
    private final boolean reportInBody;
    private long sentUs;
    UpstreamConnectionPool.Target target;
    Channel channel;
    Future<?> timeout;
    boolean written;
    /** Null while it is out. */
    private AttemptOutcome outcome;
    /** When its end was told; 0 where nobody noted it. */
    private long endedUs;

    public UpstreamCall(
            String upstream,
            long untilUs,
            boolean reportInBody,
            LongFunction<FullHttpRequest> message,
            UpstreamCallListener result) {
        this.upstream = upstream;
        this.untilUs = untilUs;
        this.message = message;
        this.reportInBody = reportInBody;
        this.result = result;
    }

    /** The endpoint that the call goes to. */
    public String upstream() {
        return upstream;
    }

    /** When the call was started. */
    public long sentUs() {
        return sentUs;
    }

    public void sentAt(long timeUs) {
        sentUs = timeUs;
    }

    /** When the end of the call was noted; 0 where nobody noted it. */
    public long endedUs() {
        return endedUs;
    }

    public void endedAt(long timeUs) {
        endedUs = timeUs;
    }

    /** True for a probe, whose answer's body is the load report. */
    boolean reportInBody() {
        return reportInBody;
    }

    public boolean ended() {
        return outcome != null;
    }

    public AttemptOutcome outcome() {
        return outcome;
    }

    /** Whether the last byte of the message is out. */
    boolean written() {
        return written;
    }

    public void end(AttemptOutcome how, LoadReport report, ByteBuf body) {
        if (ended()) {
            return;
        }
        outcome = how;
        if (timeout != null) {
            timeout.cancel(false);
        }
        result.ended(this, how, report, body);
    }

    /** Ends a call that gets no answer any more: a late one must find nobody, so its connection goes. */
    void abandon(AttemptOutcome outcome) {
        if (!ended()) {
            if (channel != null) {
                channel.close();
            }
            end(outcome, null, null);
        }
    }

    public void cancel() {
        abandon(AttemptOutcome.CANCELLED);
    }

    /** Nobody wants it any more: without its last byte written it has not run, and now it never will. */
    public void withdraw() {
        if (!written) {
            abandon(AttemptOutcome.NOT_SENT);
        }
    }

    /** The hinge of all outcomes: without its last byte written a request has never run. */
    void broke() {
        end(written ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED, null, null);
    }

    /** What came is no answer; without its last byte written the request has not run all the same. */
    void spoilt() {
        end(written ? AttemptOutcome.MALFORMED_RESPONSE : AttemptOutcome.CONNECT_FAILED, null, null);
    }

    void timedOut() {
        abandon(written ? AttemptOutcome.TIMEOUT : AttemptOutcome.CONNECT_FAILED);
    }
}
