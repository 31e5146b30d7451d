package loadbalancer.decision;

import static loadbalancer.decision.PolicyFixture.ALL_SIDECARS;
import static loadbalancer.decision.PolicyFixture.GOSSIP_TIMER;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What sidecars send to one another, and to how many. */
class GossipStateTest {
    private static final Endpoint A = PolicyFixture.endpoint("a", "za", 1);
    private static final Endpoint B = PolicyFixture.endpoint("b", "zb", 2);

    /** Clients wait for a sidecar that restarts: its first request comes at once, the next ones at their usual rate. */
    @Test
    void firstRequestAfterTheStartDoesNotInflateTheSentRate() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.start().listed(A, B);
        fixture.advance(20).request("first");
        for (int i = 0; i < 10; i++) {
            fixture.advance(i == 0 ? 99_980 : 100_000).request("r" + i);
            fixture.fire(GOSSIP_TIMER);
            assertTrue(fixture.lastGossipRate() < 30, "ten a second, and sent are " + fixture.lastGossipRate());
        }
        assertEquals(10, fixture.lastGossipRate(), 3);
    }

    @Test
    void sendsToAllSidecarsIfTheTrafficPaysForIt() {
        PolicyFixture fixture = PolicyFixture.oneOfFourteen();
        for (int i = 0; i < 400; i++) {
            fixture.advance(5_000).request("r" + i);
        }
        fixture.fire(GOSSIP_TIMER);
        assertEquals(ALL_SIDECARS, fixture.gossipTargets().get(0));
        assertEquals(1, fixture.gossipTargets().size());
    }

    /** Gossip has a price: a quiet fleet sends little of it, and never to the sender itself. */
    @Test
    void sendsToOneSidecarAtATimeInAQuietFleet() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.sidecarCount = 500;
        fixture.start().listed(A, B).fire(GOSSIP_TIMER);
        assertEquals(1, fixture.gossipTargets().size());
        assertNotEquals(ALL_SIDECARS, fixture.gossipTargets().get(0));
        assertNotEquals(0, fixture.gossipTargets().get(0));
        fixture.advance(1_000_000).fire(GOSSIP_TIMER);
        assertEquals(2, fixture.gossipTargets().size());
    }

    @Test
    void ignoresMalformedGossip() {
        PolicyFixture fixture = new PolicyFixture().start().listed(A);
        fixture.gossipReceived(9, new byte[] {1, 2, 3, 4, 5});
        fixture.gossipReceived(1, new byte[] {1});
        fixture.gossipReceived(1, new byte[] {1, 2, 3, 4});
        fixture.request("r");
        assertEquals("a", fixture.endpointOf("r", 0));
    }
}
