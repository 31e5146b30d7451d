package loadbalancer.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Verifies that every cost of a decision module can be measured; the values depend on the machine. */
class PolicyCostsTest {
    /** The measurements need gossip of another module, so they fail if its gossip timer sends none. */
    @Test
    void measuresCostsOfSmallFleet() {
        PolicyCosts costs = new PolicyCosts(3, 4);
        assertTrue(costs.requestMicros() > 0);
        assertTrue(costs.requestWithRecomputeMicros() > 0);
        assertTrue(costs.outcomeMicros() > 0);
        assertTrue(costs.gossipMicros() > 0);
        assertTrue(costs.deltaMicros() > 0);
        assertTrue(costs.fullListMicros() > 0);
        assertTrue(costs.settingsMicros() > 0);
    }
}
