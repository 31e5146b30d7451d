package loadbalancer.proxy.testing;

import java.util.List;
import loadbalancer.decision.AttemptOutcome;
import loadbalancer.decision.AttemptResult;
import loadbalancer.decision.Endpoint;
import loadbalancer.decision.EndpointListType;
import loadbalancer.decision.LoadBalancer;
import loadbalancer.decision.LoadBalancerActions;
import loadbalancer.decision.LoadReport;
import loadbalancer.decision.Request;
import loadbalancer.settings.LoadBalancerSettings;
import loadbalancer.settings.RequestClass;

/**
 * Records each call except {@link #onStreamStart} as a line in the events of its fixture. Lets the callbacks of the
 * fixture take the actions on requests and outcomes, and polls discovery if {@link SidecarFixture#pollsEndpoints} is
 * set. Throws an exception when a timer named {@code break} fires.
 */
final class RecordingLoadBalancer implements LoadBalancer {
    private final SidecarFixture fixture;
    private final LoadBalancerActions actions;

    RecordingLoadBalancer(SidecarFixture fixture, LoadBalancerActions actions) {
        this.fixture = fixture;
        this.actions = actions;
        if (fixture.pollsEndpoints) {
            actions.pollEndpoints();
        }
    }

    private void record(String event) {
        fixture.events.add(event);
    }

    @Override
    public void onEndpointList(long nowMicros, EndpointListType type, List<Endpoint> endpoints) {
        record("list " + type + " "
                + String.join(
                        ",",
                        endpoints.stream()
                                .map(endpoint -> endpoint.id() + "=" + endpoint.state())
                                .toList()));
        if (fixture.pollsEndpoints && type == EndpointListType.FAILED) {
            actions.pollEndpoints();
        }
    }

    @Override
    public void onSettings(long nowMicros, LoadBalancerSettings settings) {
        record("settings "
                + String.join(
                        ",",
                        settings.requestClasses().stream()
                                .map(RequestClass::name)
                                .toList()));
    }

    @Override
    public void onRequest(long nowMicros, Request request) {
        record("request " + request.id() + " " + request.remainingMicros());
        fixture.onRequest.handle(nowMicros, request, actions);
    }

    @Override
    public void onAttemptOutcome(long nowMicros, AttemptResult result) {
        LoadReport report = result.loadReport();
        record("outcome " + result.requestId() + " " + result.attemptNumber() + " " + result.outcome() + " "
                + result.requestFinished() + " " + (report == null ? "-" : report.inFlight()));
        fixture.onOutcome.handle(result.requestId(), result.outcome(), result.requestFinished(), actions);
    }

    @Override
    public void onStreamStart(
            long nowMicros, String requestId, int attemptNumber, String endpointId, long latencyMicros) {}

    @Override
    public void onHealthCheck(
            long nowMicros, String endpointId, AttemptOutcome outcome, long latencyMicros, LoadReport report) {
        record("health_check " + endpointId + " " + outcome + " " + (report == null ? "-" : report.inFlight()));
    }

    @Override
    public void onRequestExpired(long nowMicros, String requestId) {
        record("expired " + requestId);
    }

    @Override
    public void onGossip(long nowMicros, int sidecarIndex, byte[] message) {
        record("gossip " + sidecarIndex + " " + message.length);
    }

    @Override
    public void onTimer(long nowMicros, String timerName) {
        record("timer " + timerName);
        if (timerName.equals("break")) {
            throw new IllegalStateException("thrown by the test");
        }
    }
}
