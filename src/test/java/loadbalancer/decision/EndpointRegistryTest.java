package loadbalancer.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Endpoints are added, drained, removed and discarded according to the endpoint lists. */
class EndpointRegistryTest {
    private static final Endpoint A = PolicyFixture.endpoint("a", "za", 1);
    private static final Endpoint B = PolicyFixture.endpoint("b", "zb", 2);

    @Test
    void sendsNothingToDrainingAndRemovedEndpoints() {
        PolicyFixture fixture = new PolicyFixture().start().receiveFullSnapshot(A, B);
        fixture.receiveEndpointList(
                EndpointListType.DELTA, new Endpoint("a", "za", "k", 1, 0, 1, EndpointState.DRAINING));
        fixture.request("r1").request("r2");
        fixture.receiveEndpointList(EndpointListType.FULL, A);
        fixture.advanceMicros(1).request("r3");
        assertEquals("b", fixture.endpointOf("r1", 0));
        assertEquals("b", fixture.endpointOf("r2", 0));
        assertEquals("a", fixture.endpointOf("r3", 0));
    }

    /** Replacements have new ids, so removed endpoints that are never discarded would fill the memory. */
    @Test
    void discardsRemovedEndpointAfterItsLastAttempt() {
        PolicyFixture fixture = new PolicyFixture().start().receiveFullSnapshot(A);
        fixture.request("r");
        for (int i = 0; i < 50; i++) {
            fixture.receiveEndpointList(
                    EndpointListType.DELTA,
                    PolicyFixture.endpoint("n" + i, "za", 1),
                    PolicyFixture.withState(
                            i == 0 ? A : PolicyFixture.endpoint("n" + (i - 1), "za", 1), EndpointState.REMOVED));
        }
        assertEquals(2, fixture.endpointCount());
        fixture.outcome("r", 0, "a", AttemptOutcome.OK, 1_000);
        assertEquals(1, fixture.endpointCount());
        fixture.receiveFullSnapshot(B);
        assertEquals(1, fixture.endpointCount());
    }
}
