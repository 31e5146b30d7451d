package loadbalancer.proxy.upstream;

import io.netty.buffer.ByteBuf;
import loadbalancer.decision.AttemptOutcome;
import loadbalancer.decision.LoadReport;

/** Is notified exactly once for each call, when the call ends, on the event loop of the pool. */
@FunctionalInterface
public interface UpstreamCallListener {
    /**
     * Handles the end of a call.
     *
     * @param loadReport the load report of the endpoint; null if there was no response, or if the response had no
     *     well-formed load report
     * @param body the body of the response if the outcome is {@code OK}, otherwise null. It is released after this
     *     method returns, so an implementation that needs it for longer must retain it.
     */
    void onCallEnded(UpstreamCall call, AttemptOutcome outcome, LoadReport loadReport, ByteBuf body);
}
