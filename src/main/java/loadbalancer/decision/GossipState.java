package loadbalancer.decision;

import java.util.Arrays;

/**
 * The last gossip of each sidecar, and a summary of it: the sum of the live peers' requests in flight, and the mean
 * request rate per sidecar, in total and by zone. A peer is live if its last gossip is at most 5 s old; an older one is
 * ignored, because the sender may have stopped.
 */
final class GossipState {
    private static final long PEER_LIVE_MICROS = 5_000_000;

    private GossipPeer[] peers;
    private double[] zoneRatesPerSecond;
    private double meanRatePerSecond;
    private int livePeers;
    private double livePeersInFlight;

    /**
     * Forgets all peers, because an index may belong to another sidecar under new settings. Called at the start and for
     * each change of the settings.
     */
    void reset(int sidecarCount, int zoneCount) {
        peers = new GossipPeer[sidecarCount];
        zoneRatesPerSecond = new double[zoneCount];
        meanRatePerSecond = 0;
        livePeers = 0;
        livePeersInFlight = 0;
    }

    /** Stores the last gossip of a sidecar. The next {@link #summarize} takes it into account. */
    void record(int sidecarIndex, GossipPeer peer) {
        peers[sidecarIndex] = peer;
    }

    /** Updates the summary from the gossip of the live peers and this sidecar's own rate. */
    void summarize(long nowMicros, int localZoneIndex, double localRatePerSecond) {
        Arrays.fill(zoneRatesPerSecond, 0);
        zoneRatesPerSecond[localZoneIndex] = localRatePerSecond;
        livePeers = 0;
        livePeersInFlight = 0;
        for (GossipPeer peer : peers) {
            if (peer == null || nowMicros - peer.receivedMicros() > PEER_LIVE_MICROS) {
                continue;
            }
            livePeers++;
            zoneRatesPerSecond[peer.zoneIndex()] += peer.ratePerSecond();
            livePeersInFlight += peer.inFlight();
        }
        for (int zone = 0; zone < zoneRatesPerSecond.length; zone++) {
            zoneRatesPerSecond[zone] /= livePeers + 1;
        }
        meanRatePerSecond = Arrays.stream(zoneRatesPerSecond).sum();
    }

    int zoneCount() {
        return zoneRatesPerSecond.length;
    }

    /**
     * Returns the total request rate of the zone's live sidecars, divided by the number of live sidecars in all zones,
     * in requests per second. The values of all zones add up to {@link #meanRatePerSecond}.
     */
    double zoneRatePerSecond(int zoneIndex) {
        return zoneRatesPerSecond[zoneIndex];
    }

    /** Returns the mean request rate per sidecar, over the live peers and this one; 0 before the first summary. */
    double meanRatePerSecond() {
        return meanRatePerSecond;
    }

    /** Returns the number of live peers, not counting this sidecar. */
    int livePeers() {
        return livePeers;
    }

    /** Returns the number of requests of the live peers that endpoints hold. */
    double livePeersInFlight() {
        return livePeersInFlight;
    }
}
