package loadbalancer.decision;

import java.util.Arrays;

/**
 * The last gossip of each sidecar, and a summary of it: the sum of the live peers' in-flight requests and the mean
 * request rate of a sidecar by zone. Gossip older than 5 s does not count, since its sender may have stopped.
 */
final class GossipState {
    private static final long PEER_LIVE_MICROS = 5_000_000;

    private GossipPeer[] peers;
    private double[] zoneRates;
    private double meanRate;
    private int livePeers;
    private double livePeersInFlight;

    /** Forgets all peers, whose numbers may belong to other sidecars under new settings. */
    void reset(int sidecarCount, int zoneCount) {
        peers = new GossipPeer[sidecarCount];
        zoneRates = new double[zoneCount];
        meanRate = 0;
    }

    void record(int sidecarIndex, GossipPeer peer) {
        peers[sidecarIndex] = peer;
    }

    /** Sums up the live peers and this sidecar. */
    void summarize(long nowMicros, int localZone, double localRate) {
        Arrays.fill(zoneRates, 0);
        zoneRates[localZone] = localRate;
        livePeers = 0;
        livePeersInFlight = 0;
        for (GossipPeer peer : peers) {
            if (peer == null || nowMicros - peer.receivedMicros() > PEER_LIVE_MICROS) {
                continue;
            }
            livePeers++;
            zoneRates[peer.zone()] += peer.ratePerSecond();
            livePeersInFlight += peer.inFlight();
        }
        for (int zone = 0; zone < zoneRates.length; zone++) {
            zoneRates[zone] /= livePeers + 1;
        }
        meanRate = Arrays.stream(zoneRates).sum();
    }

    int zoneCount() {
        return zoneRates.length;
    }

    /** The zone's part of {@link #meanRate}, in requests a second. */
    double zoneRate(int zone) {
        return zoneRates[zone];
    }

    /** Mean requests a second of one sidecar, over the live peers and this one; 0 before the first summary. */
    double meanRate() {
        return meanRate;
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
