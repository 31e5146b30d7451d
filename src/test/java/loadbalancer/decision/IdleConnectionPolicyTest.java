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
            fixture.start().receiveFullSnapshot(A).request("r").request("s");
            fixture.receiveEndpointList(EndpointListType.DELTA, PolicyFixture.withState(A, EndpointState.DRAINING));
            assertEquals(closeOnDrainMicros > 0 ? 1 : 0, fixture.connectionCloseCount("a"));
            fixture.advanceMicros(50_000).outcome("r", 0, "a", AttemptOutcome.OK, 50_000);
            assertEquals(closeOnDrainMicros > 0 ? 2 : 0, fixture.connectionCloseCount("a"));
            // The endpoint is ready again, so its connections are no longer closed.
            fixture.receiveEndpointList(EndpointListType.DELTA, A);
            fixture.advanceMicros(50_000).outcome("s", 0, "a", AttemptOutcome.OK, 100_000);
            assertEquals(closeOnDrainMicros > 0 ? 2 : 0, fixture.connectionCloseCount("a"));
        }
    }

    @Test
    void closesConnectionsOfUnlistedEndpointOnlyIfUsed() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.closeOnDrainMicros = 500_000;
        fixture.start().receiveFullSnapshot(A, B).request("r");
        String used = fixture.endpointOf("r", 0);
        fixture.receiveEndpointList(EndpointListType.FULL);
        assertEquals(List.of(used), fixture.endpointsWithClosedConnections());
    }

    /**
     * A connection that the network has dropped while it was idle fails at its next use. The failure shows the idle
     * timeout of the network, not a fault of the endpoint.
     */
    @Test
    void closesLongIdleConnectionsBeforeUseAfterOneWasDropped() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.connectionPrice = 0.05;
        fixture.start()
                .receiveFullSnapshot(A)
                .request("r0")
                .advanceMicros(75_000)
                .outcome("r0", 0, "a", AttemptOutcome.OK, 75_000);
        fixture.advanceMicros(2_000_000)
                .request("r1")
                .advanceMicros(1_000)
                .outcome("r1", 0, "a", AttemptOutcome.RESET, 1_000);
        // The dropped connection had been idle for 2 s, so the idle limit is now 1.5 s.
        assertEquals("a", fixture.endpointOf("r1", 1));
        fixture.advanceMicros(75_000).outcome("r1", 1, "a", AttemptOutcome.OK, 75_000);
        assertEquals(0, fixture.endpointsWithClosedConnections().size());
        fixture.advanceMicros(1_800_000).request("r2");
        assertEquals(1, fixture.connectionCloseCount("a"));
        fixture.advanceMicros(75_000)
                .outcome("r2", 0, "a", AttemptOutcome.OK, 75_000)
                .advanceMicros(500_000)
                .request("r3");
        assertEquals(1, fixture.connectionCloseCount("a"), "a connection that was idle for 500 ms stays open");
    }
}
