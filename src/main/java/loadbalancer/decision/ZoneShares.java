package loadbalancer.decision;

/**
 * Decides which part of the local requests goes to each zone: in proportion to its ready endpoints, or, where crossing
 * zones has a price, all to the local zone except what exceeds its part of the fleet's rate. Without gossip none cross.
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
            shares[endpoint.zone()] += 1.0 / registry.ready().size();
        }
        if (settings.crossZoneIsPriced() && settings.localLoadIsSmallPart()) {
            preferLocalZone();
        }
    }

    private void preferLocalZone() {
        int localZone = settings.localZone();
        double total = gossip.livePeers() > 0 ? gossip.meanRate() : 0;
        double localShare =
                total <= 0 ? 1 : Math.min(1, RateMath.divide(shares[localZone] * total, gossip.zoneRate(localZone)));
        double spareSum = 0;
        for (int zone = 0; zone < shares.length; zone++) {
            boolean takesNone = zone == localZone || total <= 0;
            shares[zone] = takesNone ? 0 : Math.max(0, shares[zone] - gossip.zoneRate(zone) / total);
            spareSum += shares[zone];
        }
        for (int zone = 0; zone < shares.length; zone++) {
            shares[zone] *= RateMath.divide(1 - localShare, spareSum);
        }
        shares[localZone] = localShare;
    }

    double share(int zone) {
        return shares[zone];
    }

    double localShare() {
        return shares[settings.localZone()];
    }
}
