package loadbalancer.decision;

import java.util.Arrays;

/**
 * What gossip tells of the fleet: the sum of the in-flight requests of live peers and the mean request rate of the
 * sidecars by zone. Messages get lost, and a sidecar that was killed says nothing any more: old ones do not count.
 */
final class GossipState {
    private static final long PEER_LIVE_MICROS = 5_000_000;

    private GossipPeer[] peers;
    private double[] zoneRates;
    private double meanRate;
    private int livePeers;
    private double remoteInFlight;

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
        remoteInFlight = 0;
        for (GossipPeer peer : peers) {
            if (peer == null || nowMicros - peer.receivedMicros() > PEER_LIVE_MICROS) {
                continue;
            }
            livePeers++;
            zoneRates[peer.zone()] += peer.ratePerSecond();
            remoteInFlight += peer.inFlight();
        }
        for (int zone = 0; zone < zoneRates.length; zone++) {
            zoneRates[zone] /= livePeers + 1;
        }
        meanRate = Arrays.stream(zoneRates).sum();
    }

    int zoneCount() {
        return zoneRates.length;
    }

    /** The zone's part of {@link #meanRate}. */
    double zoneRate(int zone) {
        return zoneRates[zone];
    }

    /** Mean requests a second of a sidecar, live peers and this one; 0 before the first summary. */
    double meanRate() {
        return meanRate;
    }

    /** Number of sidecars whose gossip is recent, without this one. */
    int livePeers() {
        return livePeers;
    }

    /** Requests that endpoints hold for the live peers. */
    double remoteInFlight() {
        return remoteInFlight;
    }
}
