package loadbalancer.decision;

/**
 * Decides the share of each zone: the fraction of this sidecar's requests that it sends to the zone.
 *
 * <p>If crossing zones has no price, or if local requests represent the load of the endpoints well, the shares are
 * proportional to the zones' numbers of ready endpoints. Otherwise requests leave the local zone only if the zone's
 * sidecars together receive more than the zone's fraction of the fleet's request rate, and then only the excess does;
 * without gossip, all requests stay in the local zone.
 */
final class ZoneShares {
    private final PolicySettings settings;
    private final EndpointRegistry registry;
    private final GossipState gossip;
    private double[] shares = new double[0];

    ZoneShares(PolicySettings settings, EndpointRegistry registry, GossipState gossip) {
        this.settings = settings;
        this.registry = registry;
        this.gossip = gossip;
    }

    void update() {
        shares = new double[gossip.zoneCount()];
        for (TrackedEndpoint endpoint : registry.ready()) {
            shares[endpoint.zoneIndex()] += 1.0 / registry.ready().size();
        }
        if (settings.prefersLocalZone() && settings.localLoadIsUnrepresentative()) {
            preferLocalZone();
        }
    }

    /** Sends only the local zone's excess to the other zones, in proportion to the spare capacity of each. */
    private void preferLocalZone() {
        int localZoneIndex = settings.localZoneIndex();
        double meanRatePerSecond = gossip.livePeers() > 0 ? gossip.meanRatePerSecond() : 0;
        double localShare = meanRatePerSecond <= 0
                ? 1
                : Math.min(
                        1,
                        RateMath.safeDivide(
                                shares[localZoneIndex] * meanRatePerSecond, gossip.zoneRatePerSecond(localZoneIndex)));
        double spareShareSum = 0;
        for (int zone = 0; zone < shares.length; zone++) {
            boolean receivesNoExcess = zone == localZoneIndex || meanRatePerSecond <= 0;
            shares[zone] = receivesNoExcess
                    ? 0
                    : Math.max(0, shares[zone] - gossip.zoneRatePerSecond(zone) / meanRatePerSecond);
            spareShareSum += shares[zone];
        }
        for (int zone = 0; zone < shares.length; zone++) {
            shares[zone] *= RateMath.safeDivide(1 - localShare, spareShareSum);
        }
        shares[localZoneIndex] = localShare;
    }

    /** Returns the fraction of this sidecar's requests, 0 to 1, that it sends to the zone. */
    double share(int zoneIndex) {
        return shares[zoneIndex];
    }

    /** Returns the fraction of this sidecar's requests, 0 to 1, that stays in the local zone. */
    double localShare() {
        return shares[settings.localZoneIndex()];
    }
}
