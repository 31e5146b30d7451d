package loadbalancer.decision;

import static loadbalancer.decision.PolicyFixture.ALL_SIDECARS;
import static loadbalancer.decision.PolicyFixture.GOSSIP_TIMER;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the content and the receivers of sent gossip, and that malformed gossip is ignored. */
class GossipSenderTest {
    private static final Endpoint A = PolicyFixture.endpoint("a", "za", 1);
    private static final Endpoint B = PolicyFixture.endpoint("b", "zb", 2);

    /**
     * Clients wait while a sidecar restarts, so its first request arrives right after the start, and the next ones at
     * the usual rate. A rate measured over the short time before the first request would be far too high.
     */
    @Test
    void doesNotInflateSentRateAfterStart() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.start().receiveFullSnapshot(A, B);
        fixture.advanceMicros(20).request("first");
        for (int i = 0; i < 10; i++) {
            fixture.advanceMicros(i == 0 ? 99_980 : 100_000).request("r" + i);
            fixture.fireTimer(GOSSIP_TIMER);
            assertTrue(
                    fixture.lastGossipRatePerSecond() < 30,
                    "10 requests per second arrive, but the sent rate is " + fixture.lastGossipRatePerSecond());
        }
        assertEquals(10, fixture.lastGossipRatePerSecond(), 3);
    }

    @Test
    void sendsToAllSidecarsIfTrafficJustifiesPrice() {
        PolicyFixture fixture = PolicyFixture.oneOfFourteenSidecars();
        for (int i = 0; i < 400; i++) {
            fixture.advanceMicros(5_000).request("r" + i);
        }
        fixture.fireTimer(GOSSIP_TIMER);
        assertEquals(ALL_SIDECARS, fixture.gossipTargets().get(0));
        assertEquals(1, fixture.gossipTargets().size());
    }

    /** Gossip has a price, so a fleet with little traffic sends little of it. No sidecar sends gossip to itself. */
    @Test
    void sendsToOneSidecarPerIntervalIfTrafficIsLow() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.sidecarCount = 500;
        fixture.start().receiveFullSnapshot(A, B).fireTimer(GOSSIP_TIMER);
        assertEquals(1, fixture.gossipTargets().size());
        assertNotEquals(ALL_SIDECARS, fixture.gossipTargets().get(0));
        assertNotEquals(0, fixture.gossipTargets().get(0));
        fixture.advanceMicros(1_000_000).fireTimer(GOSSIP_TIMER);
        assertEquals(2, fixture.gossipTargets().size());
    }

    @Test
    void ignoresMalformedGossip() {
        PolicyFixture fixture = new PolicyFixture().start().receiveFullSnapshot(A);
        fixture.receiveGossip(9, new byte[] {1, 2, 3, 4, 5});
        fixture.receiveGossip(1, new byte[] {1});
        fixture.receiveGossip(1, new byte[] {1, 2, 3, 4});
        fixture.request("r");
        assertEquals("a", fixture.endpointOf("r", 0));
    }
}
