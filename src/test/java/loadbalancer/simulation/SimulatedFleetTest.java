package loadbalancer.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** A simulated fleet is deterministic, and its sidecars estimate the fleet's rate well. */
class SimulatedFleetTest {
    /** A summary of the history of one fleet with restarts. */
    private static String history(long seed) {
        SimulatedFleet fleet = new SimulatedFleet(new FleetShape(30, 20, 0.6, 4, 1_000_000, 0.2, seed));
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
    void sameSeedGivesSameHistory() {
        assertEquals(history(5), history(5));
        assertNotEquals(history(5), history(6));
    }

    /** The first request right after a start must not count as a high rate. */
    @Test
    void rateEstimatesSurviveAMassRestart() {
        SimulatedFleet fleet = new SimulatedFleet(new FleetShape(100, 100, 0.6, 4, 0, 0, 3));
        fleet.run(5.5);
        for (int i = 0; i < 70; i++) {
            fleet.restartSidecar(i);
        }
        fleet.run(5.5);
        double[] errors = fleet.rateEstimateErrors();
        assertTrue(errors.length > 90, errors.length + " have an estimate");
        double median = errors[errors.length / 2];
        double worst = errors[errors.length - 1];
        assertTrue(median < 0.1 && worst < 0.4, "off by " + median + " in the median and " + worst + " at worst");
    }
}
