package loadbalancer.proxy.lifecycle;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.TimeUnit;
import loadbalancer.decision.AttemptOutcome;
import loadbalancer.decision.LoadBalancerActions;
import loadbalancer.decision.LoadReport;
import loadbalancer.proxy.client.RequestDispatcher;
import loadbalancer.proxy.discovery.DiscoveryWatch;
import loadbalancer.proxy.eventloop.LoadBalancerExecutor;
import loadbalancer.proxy.eventloop.MonotonicClock;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import loadbalancer.proxy.gossip.GossipTransport;
import loadbalancer.proxy.observability.SidecarLog;
import loadbalancer.proxy.upstream.UpstreamCall;
import loadbalancer.proxy.upstream.UpstreamConnectionPool;

/**
 * Carries out the actions of the load balancer by calling the component of the sidecar that is responsible for each
 * action. Confined to the event loop.
 */
final class SidecarActions implements LoadBalancerActions {
    /** A load report that takes longer than this to arrive is too old to describe the current load. */
    private static final long HEALTH_CHECK_TIMEOUT_MICROS = 50_000;

    private static final String LOAD_REPORT_PATH = "/stats";

    private final EventLoop nettyEventLoop;
    private final MonotonicClock clock;
    private final LoadBalancerExecutor loadBalancerExecutor;
    private final RequestDispatcher dispatcher;
    private final UpstreamConnectionPool upstreamPool;
    private final DiscoveryWatch discovery;
    private final GossipTransport gossip;

    SidecarActions(
            ReadTrackingEventLoop eventLoop,
            LoadBalancerExecutor loadBalancerExecutor,
            RequestDispatcher dispatcher,
            UpstreamConnectionPool upstreamPool,
            DiscoveryWatch discovery,
            GossipTransport gossip) {
        nettyEventLoop = eventLoop.nettyEventLoop();
        clock = eventLoop.clock();
        this.loadBalancerExecutor = loadBalancerExecutor;
        this.dispatcher = dispatcher;
        this.upstreamPool = upstreamPool;
        this.discovery = discovery;
        this.gossip = gossip;
    }

    @Override
    public void sendAttempt(String requestId, String endpointId, long deadlineMicros) {
        dispatcher.sendAttempt(requestId, endpointId, deadlineMicros);
    }

    @Override
    public void reject(String requestId, long retryAfterMicros) {
        dispatcher.reject(requestId, retryAfterMicros);
    }

    @Override
    public void fail(String requestId) {
        dispatcher.fail(requestId);
    }

    @Override
    public void cancelAttempt(String requestId, int attemptNumber) {
        dispatcher.cancelAttempt(requestId, attemptNumber);
    }

    @Override
    public void checkHealth(String endpointId) {
        upstreamPool.startCall(UpstreamCall.healthCheck(
                endpointId,
                clock.nowMicros() + HEALTH_CHECK_TIMEOUT_MICROS,
                remainingMicros -> loadReportRequest(),
                (call, outcome, report, body) -> healthCheckCompleted(call, outcome, report)));
    }

    private static FullHttpRequest loadReportRequest() {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, LOAD_REPORT_PATH);
    }

    private void healthCheckCompleted(UpstreamCall call, AttemptOutcome outcome, LoadReport report) {
        loadBalancerExecutor.submit(
                "health_check",
                loadBalancer -> loadBalancer.onHealthCheck(
                        clock.nowMicros(),
                        call.endpointId(),
                        outcome,
                        clock.nowMicros() - call.startedMicros(),
                        report),
                () -> {});
    }

    @Override
    public void pollEndpoints() {
        discovery.poll();
    }

    @Override
    public void sendGossip(int sidecarIndex, byte[] message) {
        gossip.send(sidecarIndex, message);
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        upstreamPool.closeIdleConnections(endpointId);
    }

    @Override
    public void startTimer(String timerName, long delayMicros) {
        nettyEventLoop.schedule(
                () -> loadBalancerExecutor.submit(
                        "timer",
                        loadBalancer -> loadBalancer.onTimer(clock.nowMicros(), timerName),
                        dispatcher::failRequestsWithoutAttemptInFlight),
                delayMicros,
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void log(String text) {
        SidecarLog.info(text);
    }
}
