package loadbalancer.decision;

/**
 * Decides which part of the local requests goes to each zone. Without a price for crossing zones, the parts are
 * proportional to the zones' ready endpoints. With a price, all requests stay in the local zone except those by which
 * its sidecars together exceed its part of the fleet's rate; without gossip, all stay.
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

    /** Gives the other zones only the local zone's excess, in proportion to what each has to spare. */
    private void preferLocalZone() {
        int localZoneIndex = settings.localZoneIndex();
        double meanRatePerSecond = gossip.livePeers() > 0 ? gossip.meanRatePerSecond() : 0;
        double localShare = meanRatePerSecond <= 0
                ? 1
                : Math.min(
                        1,
                        RateMath.safeDivide(
                                shares[localZoneIndex] * meanRatePerSecond, gossip.zoneRatePerSecond(localZoneIndex)));
        double spareSum = 0;
        for (int zone = 0; zone < shares.length; zone++) {
            boolean takesNone = zone == localZoneIndex || meanRatePerSecond <= 0;
            shares[zone] =
                    takesNone ? 0 : Math.max(0, shares[zone] - gossip.zoneRatePerSecond(zone) / meanRatePerSecond);
            spareSum += shares[zone];
        }
        for (int zone = 0; zone < shares.length; zone++) {
            shares[zone] *= RateMath.safeDivide(1 - localShare, spareSum);
        }
        shares[localZoneIndex] = localShare;
    }

    /** The part of the local requests, 0 to 1, that goes to the zone. */
    double share(int zone) {
        return shares[zone];
    }

    /** The part of the local requests, 0 to 1, that stays in the local zone. */
    double localShare() {
        return shares[settings.localZoneIndex()];
    }
}
