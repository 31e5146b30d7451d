package loadbalancer.proxy.upstream;

import io.netty.buffer.ByteBuf;
import loadbalancer.decision.AttemptOutcome;
import loadbalancer.decision.LoadReport;

/** Is notified exactly once, when a call ends, on the event loop of its pool. */
@FunctionalInterface
public interface UpstreamCallListener {
    /**
     * The call has ended.
     *
     * @param loadReport null if the response had none that could be read, or there was no response
     * @param body the body of the response if the outcome is {@code OK}, otherwise null; released after this method
     *     returns, so an implementation that keeps it has to retain it
     */
    void callEnded(UpstreamCall call, AttemptOutcome outcome, LoadReport loadReport, ByteBuf body);
}
