package loadbalancer.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * An endpoint in slow start fails from N + 2 x root of N + 2 requests in an overload window on, over the sum of all
 * sidecars. The sidecars are notified of a start up to 4.6 s apart, some are restarted meanwhile, and traffic is
 * unequal.
 */
class SimulatedSlowStartTest {
    @ParameterizedTest
    @CsvSource({"20, 12", "30, 20", "100, 60"})
    void allSidecarsTogetherKeepToTheBudgetOfEachEndpoint(int sidecarCount, int endpointCount) {
        for (long seed = 1; seed <= 3; seed++) {
            SimulatedFleet fleet =
                    new SimulatedFleet(new FleetShape(sidecarCount, endpointCount, 0.6, 4, 4_600_000, 0.1, seed));
            fleet.run(4);
            double worstExcess = Double.NEGATIVE_INFINITY;
            long requests = 0;
            double capacity = 0;
            for (int i = 0; i < endpointCount / 2; i++) {
                fleet.restartEndpoint(i);
                fleet.restartSidecar(i * 7 % sidecarCount);
                fleet.run(4.0 / endpointCount);
            }
            fleet.run(12);
            for (SimulatedEndpoint endpoint : fleet.endpoints()) {
                worstExcess = Math.max(worstExcess, endpoint.worstBudgetExcess());
                requests += endpoint.slowStartRequests();
                capacity += endpoint.slowStartCapacity();
            }
            assertTrue(worstExcess <= 0, "seed " + seed + ": " + worstExcess + " requests over the budget and chance");
            assertTrue(
                    requests > 0.4 * capacity,
                    "seed " + seed + ": endpoints in slow start got " + requests + " of " + capacity);
        }
    }
}
