package loadbalancer.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.settings.LoadReporting;
import org.junit.jupiter.api.Test;

/** Two endpoints are drawn by routing weight, and the less loaded one is selected. */
class PowerOfTwoSelectorTest {
    private static final Endpoint A = PolicyFixture.endpoint("a", "za", 1);
    private static final Endpoint B = PolicyFixture.endpoint("b", "zb", 2);

    @Test
    void selectsLessLoadedOfTwo() {
        PolicyFixture fixture = new PolicyFixture().start().receiveFullSnapshot(A, B);
        fixture.request("r1").request("r2");
        assertNotEquals(fixture.endpointOf("r1", 0), fixture.endpointOf("r2", 0));
    }

    @Test
    void drawsEndpointsByRoutingWeight() {
        // All endpoints are equal and idle, so each is drawn with the same probability.
        PolicyFixture fixture = new PolicyFixture()
                .start()
                .receiveFullSnapshot(A, B, PolicyFixture.endpoint("c", "zc", 3), PolicyFixture.endpoint("d", "zc", 4));
        int[] counts = new int[4];
        for (int i = 0; i < 4000; i++) {
            fixture.advanceMicros(1_000).request("r" + i);
            String endpoint = fixture.endpointOf("r" + i, 0);
            counts[endpoint.charAt(0) - 'a']++;
            fixture.outcome("r" + i, 0, endpoint, AttemptOutcome.OK, 75_000);
            fixture.clearActions();
        }
        for (int count : counts) {
            assertTrue(count > 800 && count < 1200, "requests sent to one endpoint: " + count);
        }
    }

    @Test
    void breaksTiesByRoutingWeight() {
        PolicyFixture fixture =
                new PolicyFixture().start().receiveFullSnapshot(A, B).request("first");
        fixture.outcome("first", 0, fixture.endpointOf("first", 0), AttemptOutcome.OK, 75_000);
        // The clock does not advance, so the routing table is not solved again and the weights remain.
        fixture.setRoutingWeight("a", 0.75);
        fixture.setRoutingWeight("b", 0.25);
        int sentToA = 0;
        for (int i = 0; i < 4000; i++) {
            fixture.clearActions();
            fixture.request("r" + i);
            String endpoint = fixture.endpointOf("r" + i, 0);
            sentToA += endpoint.equals("a") ? 1 : 0;
            fixture.outcome("r" + i, 0, endpoint, AttemptOutcome.OK, 75_000);
        }
        assertTrue(sentToA > 2900 && sentToA < 3100, "requests sent to a: " + sentToA);
    }

    @Test
    void skipsEndpointThatReportsFullLoad() {
        PolicyFixture fixture =
                new PolicyFixture().start().receiveFullSnapshot(A, B).request("r");
        String endpoint = fixture.endpointOf("r", 0);
        fixture.outcome(new AttemptResult("r", 0, endpoint, AttemptOutcome.OK, 50_000, true, new LoadReport(9, 8, 1)));
        for (int i = 0; i < 3; i++) {
            fixture.request("n" + i);
            assertNotEquals(endpoint, fixture.endpointOf("n" + i, 0));
        }
    }

    @Test
    void prefersShortQueueInLocalZoneIfCrossingZonesHasPrice() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.crossZonePrice = 0.08;
        fixture.loadReporting = LoadReporting.NONE;
        fixture.start().receiveFullSnapshot(A, B);
        for (int i = 0; i < 3; i++) {
            fixture.request("r" + i);
            assertEquals("a", fixture.endpointOf("r" + i, 0));
        }
        fixture.request("fourth");
        assertEquals("b", fixture.endpointOf("fourth", 0));
    }
}
