package loadbalancer.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that idle connections are closed when their endpoint drains, or before a send that would probably fail. */
class IdleConnectionPolicyTest {
    private static final Endpoint A = PolicyFixture.endpoint("a", "za", 1);
    private static final Endpoint B = PolicyFixture.endpoint("b", "zb", 2);

    @Test
    void closesIdleConnectionsOfDrainingEndpointIfConfigured() {
        for (long closeOnDrainMicros : new long[] {0, 500_000}) {
            PolicyFixture fixture = new PolicyFixture();
            fixture.closeOnDrainMicros = closeOnDrainMicros;
            fixture.start().listed(A).request("r").request("s");
            fixture.endpointList(EndpointListType.DELTA, PolicyFixture.withState(A, EndpointState.DRAINING));
            assertEquals(closeOnDrainMicros > 0 ? 1 : 0, fixture.closeCount("a"));
            fixture.advance(50_000).outcome("r", 0, "a", AttemptOutcome.OK, 50_000);
            assertEquals(closeOnDrainMicros > 0 ? 2 : 0, fixture.closeCount("a"));
            // The endpoint is ready again, so its connections are no longer closed.
            fixture.endpointList(EndpointListType.DELTA, A);
            fixture.advance(50_000).outcome("s", 0, "a", AttemptOutcome.OK, 100_000);
            assertEquals(closeOnDrainMicros > 0 ? 2 : 0, fixture.closeCount("a"));
        }
    }

    @Test
    void closesConnectionsOfUnlistedEndpointOnlyIfUsed() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.closeOnDrainMicros = 500_000;
        fixture.start().listed(A, B).request("r");
        String used = fixture.endpointOf("r", 0);
        fixture.endpointList(EndpointListType.FULL);
        assertEquals(List.of(used), fixture.closedConnections());
    }

    /**
     * A connection that the network has dropped while it was idle fails at its next use. The failure shows the idle
     * timeout of the network, not a fault of the endpoint.
     */
    @Test
    void closesLongIdleConnectionsBeforeUseAfterOneWasDropped() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.connectionPrice = 0.05;
        fixture.start().listed(A).request("r0").advance(75_000).outcome("r0", 0, "a", AttemptOutcome.OK, 75_000);
        fixture.advance(2_000_000).request("r1").advance(1_000).outcome("r1", 0, "a", AttemptOutcome.RESET, 1_000);
        assertEquals("a", fixture.endpointOf("r1", 1));
        fixture.advance(75_000).outcome("r1", 1, "a", AttemptOutcome.OK, 75_000);
        assertEquals(0, fixture.closedConnections().size());
        fixture.advance(1_800_000).request("r2");
        assertEquals(1, fixture.closeCount("a"));
        fixture.advance(75_000)
                .outcome("r2", 0, "a", AttemptOutcome.OK, 75_000)
                .advance(500_000)
                .request("r3");
        assertEquals(1, fixture.closeCount("a"), "a connection that was idle for 500 ms stays open");
    }
}
