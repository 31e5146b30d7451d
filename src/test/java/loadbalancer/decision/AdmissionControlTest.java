package loadbalancer.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.settings.LoadReporting;
import org.junit.jupiter.api.Test;

/** Tests that requests are shed if, and only if, the fleet can't serve them within the latency objective. */
class AdmissionControlTest {
    private static final Endpoint A = PolicyFixture.endpoint("a", "za", 1);
    private static final Endpoint B = PolicyFixture.endpoint("b", "zb", 2);

    /**
     * A few slow responses say little about the load of the fleet. They must not cause rejections while the endpoints
     * are idle as far as the sidecar knows.
     */
    @Test
    void forwardsRequestsDespiteSlowResponses() {
        for (int sidecarCount : new int[] {4, 14, 400}) {
            PolicyFixture fixture = new PolicyFixture();
            fixture.sidecarCount = sidecarCount;
            fixture.loadReporting = LoadReporting.NONE;
            fixture.latencyObjectiveMicros = 700_000;
            fixture.start().receiveFullSnapshot(A, B);
            for (int i = 0; i < 200; i++) {
                fixture.clearActions();
                fixture.advanceMicros(700_000).request("r" + i);
                String endpoint = fixture.endpointOf("r" + i, 0);
                assertNotNull(endpoint, sidecarCount + " sidecars, request " + i);
                fixture.outcome("r" + i, 0, endpoint, AttemptOutcome.OK, i < 100 ? 100_000 : 300_000);
            }
        }
    }

    /** A sidecar's own requests do not show a queue that other sidecars have filled; gossip shows it. */
    @Test
    void shedsLoadThatFleetCannotServeInTime() {
        PolicyFixture fixture = PolicyFixture.oneOfFourteenSidecars();
        assertEquals(0, rejectedOfFortyRequests(fixture), "rejections before the first gossip");
        fixture.receiveGossipFromThirteenSidecars(10, 0.1);
        assertEquals(0, rejectedOfFortyRequests(fixture), "rejections while little is in flight");
        fixture.receiveGossipFromThirteenSidecars(100, 20);
        assertEquals(
                40,
                rejectedOfFortyRequests(fixture),
                "rejections while far more is in flight than can be served in time");
        fixture.advanceMicros(10_000_000);
        assertEquals(0, rejectedOfFortyRequests(fixture), "rejections after the gossip has expired");
    }

    @Test
    void ignoresImplausibleInFlightCountsInGossip() {
        PolicyFixture fixture = PolicyFixture.oneOfFourteenSidecars();
        fixture.receiveGossipFromThirteenSidecars(0, 60_000);
        assertTrue(rejectedOfFortyRequests(fixture) < 40);
        fixture.advanceMicros(10_000_000);
        fixture.receiveGossipFromThirteenSidecars(1, 0);
        assertEquals(0, rejectedOfFortyRequests(fixture));
    }

    /** Returns how many of 40 requests, 100 ms apart, are rejected. Each forwarded request is answered after 20 ms. */
    private static int rejectedOfFortyRequests(PolicyFixture fixture) {
        fixture.clearActions();
        for (int i = 0; i < 40; i++) {
            String id = "r" + fixture.nowMicros;
            fixture.advanceMicros(100_000).request(id);
            String endpoint = fixture.endpointOf(id, 0);
            if (endpoint != null) {
                fixture.advanceMicros(20_000).outcome(id, 0, endpoint, AttemptOutcome.OK, 20_000);
            }
        }
        return fixture.rejectedRequests().size();
    }
}
