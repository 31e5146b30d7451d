package loadbalancer.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * STANDING: a cold server falls from N + 2 x root of N + 2 requests in a window on, over the sum of all processes. The
 * sidecars are told of a start up to 4.6 s apart, some are restarted meanwhile, and traffic is unequal.
 */
class SlowStartBudgetTest {
    @ParameterizedTest
    @CsvSource({"20, 12", "30, 20", "100, 60"})
    void allProcessesTogetherStayInsideTheBudgetOfEachColdServer(int sidecars, int servers) {
        for (long seed = 1; seed <= 3; seed++) {
            SimulatedFleet fleet = new SimulatedFleet(new FleetShape(sidecars, servers, 0.6, 4, 4_600_000, 0.1, seed));
            fleet.play(4);
            double most = Double.NEGATIVE_INFINITY;
            long sent = 0;
            double could = 0;
            for (int i = 0; i < servers / 2; i++) {
                fleet.restartServer(i);
                fleet.restartSidecar(i * 7 % sidecars);
                fleet.play(4.0 / servers);
            }
            fleet.play(12);
            for (SimulatedEndpoint s : fleet.servers()) {
                most = Math.max(most, s.worstBeyondChance());
                sent += s.sentCold();
                could += s.couldCold();
            }
            assertTrue(most <= 0, "seed " + seed + ": " + most + " requests over the budget and chance");
            assertTrue(sent > 0.4 * could, "seed " + seed + ": cold servers got " + sent + " of " + could);
        }
    }
}
