package loadbalancer.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/**
 * Verifies that a simulated fleet is deterministic, and that its sidecars estimate the fleet's request rate accurately.
 */
class SimulatedFleetTest {
    /** Returns a summary of a run of a fleet in which an endpoint and a sidecar restart. */
    private static String runSummary(long seed) {
        SimulatedFleet fleet = new SimulatedFleet(new FleetParameters(30, 20, 0.6, 4, 1_000_000, 0.2, seed));
        fleet.run(2);
        fleet.restartEndpoint(3);
        fleet.restartSidecar(7);
        long events = fleet.run(4);
        long[] slowStartRequests = fleet.endpoints().stream()
                .mapToLong(SimulatedEndpoint::slowStartRequests)
                .toArray();
        return events + " events, " + fleet.requests() + " requests, " + fleet.gossipMessages() + " gossip messages, "
                + fleet.servedRatio() + " served, " + Arrays.toString(slowStartRequests);
    }

    @Test
    void repeatsRunWithSameSeed() {
        assertEquals(runSummary(5), runSummary(5));
        assertNotEquals(runSummary(5), runSummary(6));
    }

    /** Guards against estimating a high rate from the first request right after the start of a sidecar. */
    @Test
    void estimatesFleetRateAfterMassRestart() {
        SimulatedFleet fleet = new SimulatedFleet(new FleetParameters(100, 100, 0.6, 4, 0, 0, 3));
        fleet.run(5.5);
        for (int i = 0; i < 70; i++) {
            fleet.restartSidecar(i);
        }
        fleet.run(5.5);
        double[] errors = fleet.rateEstimateErrors();
        assertTrue(errors.length > 90, errors.length + " sidecars have an estimate");
        double median = errors[errors.length / 2];
        double max = errors[errors.length - 1];
        assertTrue(
                median < 0.1 && max < 0.4,
                "median error " + median + " and maximum error " + max + " of the rate estimates");
    }
}
