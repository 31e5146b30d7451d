package loadbalancer.decision;

import java.util.Arrays;

/**
 * The last gossip of each sidecar, and a summary of it: the sum of the live peers' in-flight requests and the mean
 * request rate of a sidecar by zone. Gossip older than 5 s does not count, since its sender may have stopped.
 */
final class GossipState {
    private static final long PEER_LIVE_MICROS = 5_000_000;

    private GossipPeer[] peers;
    private double[] zoneRatesPerSecond;
    private double meanRatePerSecond;
    private int livePeers;
    private double livePeersInFlight;

    /** Forgets all peers, whose numbers may belong to other sidecars under new settings. */
    void reset(int sidecarCount, int zoneCount) {
        peers = new GossipPeer[sidecarCount];
        zoneRatesPerSecond = new double[zoneCount];
        meanRatePerSecond = 0;
    }

    void record(int sidecarIndex, GossipPeer peer) {
        peers[sidecarIndex] = peer;
    }

    /** Sums up the live peers and this sidecar. */
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

    /** The zone's part of {@link #meanRatePerSecond}, in requests a second. */
    double zoneRatePerSecond(int zoneIndex) {
        return zoneRatesPerSecond[zoneIndex];
    }

    /** Mean requests a second of one sidecar, over the live peers and this one; 0 before the first summary. */
    double meanRatePerSecond() {
        return meanRatePerSecond;
    }

    /** Number of sidecars whose gossip is recent, without this one. */
    int livePeers() {
        return livePeers;
    }

    /** Sum of the requests of the live peers that endpoints hold. */
    double livePeersInFlight() {
        return livePeersInFlight;
    }
}
