package loadbalancer.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Verifies that all sidecars together do not overload an endpoint in slow start. The test regards an endpoint as
 * overloaded if more than N + 2 sqrt(N) + 2 requests arrive in an overload window, where N is the budget of the window.
 * The sidecars are notified of a start up to 4.6 s apart, some of them restart in the meantime, and their request rates
 * differ.
 */
class SimulatedSlowStartTest {
    @ParameterizedTest
    @CsvSource({"20, 12", "30, 20", "100, 60"})
    void keepsRequestsOfAllSidecarsWithinBudgetOfEachEndpoint(int sidecarCount, int endpointCount) {
        for (long seed = 1; seed <= 3; seed++) {
            SimulatedFleet fleet =
                    new SimulatedFleet(new FleetParameters(sidecarCount, endpointCount, 0.6, 4, 4_600_000, 0.1, seed));
            fleet.run(4);
            double maxExcess = Double.NEGATIVE_INFINITY;
            long requests = 0;
            double capacity = 0;
            for (int i = 0; i < endpointCount / 2; i++) {
                fleet.restartEndpoint(i);
                fleet.restartSidecar(i * 7 % sidecarCount);
                fleet.run(4.0 / endpointCount);
            }
            fleet.run(12);
            for (SimulatedEndpoint endpoint : fleet.endpoints()) {
                maxExcess = Math.max(maxExcess, endpoint.maxBudgetExcess());
                requests += endpoint.slowStartRequests();
                capacity += endpoint.slowStartCapacity();
            }
            assertTrue(
                    maxExcess <= 0,
                    "seed " + seed + ": " + maxExcess
                            + " requests above the budget and its allowance for random variation");
            assertTrue(
                    requests > 0.4 * capacity,
                    "seed " + seed + ": endpoints in slow start received " + requests + " requests of a capacity of "
                            + capacity);
        }
    }
}
