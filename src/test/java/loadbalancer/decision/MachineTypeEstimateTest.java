package loadbalancer.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The number of cores of a machine type is learned from gossip. */
class MachineTypeEstimateTest {
    /**
     * The number of cores can be observed only while requests are queued. A sidecar with little traffic rarely sees
     * queued requests and must learn the number from other sidecars.
     */
    @Test
    void learnsCoresFromGossipOfSidecarsThatObserveQueues() {
        PolicyFixture fixture = PolicyFixture.oneOfFourteenSidecars();
        for (int sender = 1; sender < 14; sender++) {
            fixture.receiveMachineTypeGossip(sender, 1, 4, 40);
        }
        double cores = fixture.coresOfMachineType();
        assertTrue(cores > 3 && cores <= 4, "estimated cores: " + cores);
        fixture.receiveMachineTypeGossip(1, 1, 255, 40);
        assertTrue(fixture.coresOfMachineType() < 3 * cores, "one wrong gossip message must have little effect");
    }
}
