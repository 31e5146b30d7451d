package loadbalancer.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

class SimulatedFleetTest {
    private static String played(long seed) {
        SimulatedFleet fleet = new SimulatedFleet(new FleetShape(30, 20, 0.6, 4, 1_000_000, 0.2, seed));
        fleet.play(2);
        fleet.restartServer(3);
        fleet.restartSidecar(7);
        long events = fleet.play(4);
        return events + " events, " + fleet.taken() + " taken, " + fleet.words() + " words, " + fleet.servedPart()
                + " served, "
                + Arrays.toString(fleet.servers().stream()
                        .mapToLong(SimulatedEndpoint::sentCold)
                        .toArray());
    }

    @Test
    void oneSeedHasOneHistory() {
        assertEquals(played(5), played(5));
        assertNotEquals(played(5), played(6));
    }

    /** Found by the scale tests: a first request right after a start was told to all as a flood. */
    @Test
    void aMassRestartLeavesTheFleetsRateKnown() {
        SimulatedFleet fleet = new SimulatedFleet(new FleetShape(100, 100, 0.6, 4, 0, 0, 3));
        fleet.play(5.5);
        for (int i = 0; i < 70; i++) {
            fleet.restartSidecar(i);
        }
        fleet.play(5.5);
        double[] off = fleet.rateErrors();
        assertTrue(off.length > 90, off.length + " have said what they believe");
        double median = off[off.length / 2];
        double worst = off[off.length - 1];
        assertTrue(median < 0.1 && worst < 0.4, "off by " + median + " in the median and " + worst + " at worst");
    }
}
