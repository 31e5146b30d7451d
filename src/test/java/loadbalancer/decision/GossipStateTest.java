package loadbalancer.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class GossipStateTest {
    /** After a reload, nothing may be computed from peers that may no longer exist. */
    @Test
    void forgetsPeersAtReset() {
        GossipState gossip = new GossipState();
        gossip.reset(3, 1);
        gossip.record(1, new GossipPeer(20, 4, 0, 1_000));
        gossip.summarize(2_000, 0, 10);
        assertEquals(1, gossip.livePeers());
        assertEquals(4, gossip.livePeersInFlight());
        gossip.reset(3, 1);
        assertEquals(0, gossip.livePeers());
        assertEquals(0, gossip.livePeersInFlight());
        assertEquals(0, gossip.meanRatePerSecond());
    }
}
