package loadbalancer.proxy.upstream;

import io.netty.buffer.ByteBuf;
import loadbalancer.decision.AttemptOutcome;
import loadbalancer.decision.LoadReport;

/** Told once how a call ended; {@code body} is set with {@code OK} alone and is released afterwards. */
public interface UpstreamCallListener {
    void ended(UpstreamCall call, AttemptOutcome outcome, LoadReport report, ByteBuf body);
}
