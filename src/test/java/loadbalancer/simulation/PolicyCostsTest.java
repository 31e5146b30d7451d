package loadbalancer.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Every cost of a decision module can be measured; the values depend on the machine. */
class PolicyCostsTest {
    /** Without gossip of another module, which its gossip timer has to send, nothing could be measured. */
    @Test
    void costsOfASmallFleetAreMeasured() {
        PolicyCosts costs = new PolicyCosts(3, 4);
        assertTrue(costs.requestMicros() > 0);
        assertTrue(costs.resolveMicros() > 0);
        assertTrue(costs.outcomeMicros() > 0);
        assertTrue(costs.gossipMicros() > 0);
        assertTrue(costs.deltaMicros() > 0);
        assertTrue(costs.fullListMicros() > 0);
        assertTrue(costs.settingsMicros() > 0);
    }
}
