package loadbalancer.proxy.upstream;

import io.netty.buffer.ByteBuf;
import loadbalancer.decision.AttemptOutcome;
import loadbalancer.decision.LoadReport;

/** Notified exactly once of the end of a call, on the event loop of its pool. */
@FunctionalInterface
public interface UpstreamCallListener {
    /**
     * The call has ended.
     *
     * @param loadReport null where none came, or none that could be read
     * @param body that of the response where the outcome is {@code OK}, otherwise null; released after this method
     *     returns unless it is retained
     */
    void callEnded(UpstreamCall call, AttemptOutcome outcome, LoadReport loadReport, ByteBuf body);
}
