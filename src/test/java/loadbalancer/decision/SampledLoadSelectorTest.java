package loadbalancer.decision;

import static loadbalancer.decision.PolicyFixture.SWEEP_TIMER;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

/** The drawn endpoints are asked for load reports before one is selected. */
class SampledLoadSelectorTest {
    private static final Endpoint A = PolicyFixture.endpoint("a", "za", 1);
    private static final Endpoint B = PolicyFixture.endpoint("b", "zb", 2);

    @Test
    void checksBothDrawnEndpointsAndSelectsLessLoaded() {
        PolicyFixture fixture = withHealthChecks().request("r");
        assertEquals(2, fixture.checkedEndpoints().size());
        assertNull(fixture.endpointOf("r", 0));
        fixture.advanceMicros(1_000);
        fixture.healthCheckReply("a", new LoadReport(2, 1, 1));
        fixture.healthCheckReply("b", new LoadReport(0, 0, 0));
        assertEquals("b", fixture.endpointOf("r", 0));
    }

    /** A health check detects a stalled endpoint before a request is sent to it and lost. */
    @Test
    void skipsEndpointWithoutReplyByNextSweep() {
        PolicyFixture fixture = withHealthChecks().request("r").advanceMicros(1_000);
        fixture.healthCheckReply("a", new LoadReport(0, 0, 0));
        assertNull(fixture.endpointOf("r", 0));
        fixture.advanceMicros(5_000).fireTimer(SWEEP_TIMER);
        assertEquals("a", fixture.endpointOf("r", 0));
    }

    @Test
    void treatsReplyWithoutLoadReportAsBusy() {
        PolicyFixture fixture = withHealthChecks().request("r").advanceMicros(1_000);
        fixture.healthCheckReply("a", null);
        fixture.healthCheckReply("b", new LoadReport(1, 0, 1));
        for (int i = 0; i < 3 && fixture.endpointOf("r", 0) == null; i++) {
            fixture.advanceMicros(5_000);
            fixture.healthCheckReply("a", null);
            fixture.healthCheckReply("b", new LoadReport(1, 0, 1));
            fixture.fireTimer(SWEEP_TIMER);
        }
        assertEquals("b", fixture.endpointOf("r", 0));
    }

    /** The only sidecar knows the load of its endpoints, so a health check would only add latency and cost. */
    @Test
    void skipsHealthChecksIfNoOtherSidecarChangesLoad() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.healthChecks = true;
        fixture.sidecarCount = 1;
        fixture.start().receiveFullSnapshot(A, B).request("r").advanceMicros(1_000);
        fixture.healthCheckReply("a", new LoadReport(0, 0, 0));
        fixture.healthCheckReply("b", new LoadReport(0, 0, 0));
        String first = fixture.endpointOf("r", 0);
        fixture.clearActions();
        fixture.advanceMicros(20_000).request("s");
        assertEquals(0, fixture.checkedEndpoints().size());
        assertEquals(first.equals("a") ? "b" : "a", fixture.endpointOf("s", 0));
    }

    /** If the sidecar itself is slow, no reply arrives in time, and its requests must not keep waiting for one. */
    @Test
    void selectsByLocalInFlightIfNoReplyArrives() {
        PolicyFixture fixture =
                withHealthChecks().request("r").advanceMicros(5_000).fireTimer(SWEEP_TIMER);
        String first = fixture.endpointOf("r", 0);
        assertNotNull(first, "request r still waits for a health check reply");
        fixture.request("s").advanceMicros(5_000).fireTimer(SWEEP_TIMER);
        assertEquals(first.equals("a") ? "b" : "a", fixture.endpointOf("s", 0));
    }

    private static PolicyFixture withHealthChecks() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.healthChecks = true;
        return fixture.start().receiveFullSnapshot(A, B);
    }
}
