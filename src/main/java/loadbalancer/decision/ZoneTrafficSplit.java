package loadbalancer.decision;

/**
 * Decides how this sidecar's requests are split over the zones, as one fraction for each zone.
 *
 * <p>If crossing zones costs little, or if local requests represent the load of the endpoints well, the fractions are
 * proportional to the zones' numbers of ready endpoints. Otherwise requests leave the local zone only if its sidecars
 * receive a larger fraction of the fleet's request rate than the zone has of the ready endpoints, and then only the
 * excess leaves. Without live peers, all requests stay in the local zone. A local zone without ready endpoints is not
 * preferred.
 */
final class ZoneTrafficSplit {
    private final PolicySettings settings;
    private final EndpointRegistry registry;
    private final GossipState gossip;
    private double[] fractions = new double[0];

    ZoneTrafficSplit(PolicySettings settings, EndpointRegistry registry, GossipState gossip) {
        this.settings = settings;
        this.registry = registry;
        this.gossip = gossip;
    }

    void update() {
        fractions = new double[gossip.zoneCount()];
        for (TrackedEndpoint endpoint : registry.ready()) {
            fractions[endpoint.zoneIndex()] += 1.0 / registry.ready().size();
        }
        boolean localZoneHasEndpoints = fractions[settings.localZoneIndex()] > 0;
        if (settings.prefersLocalZone() && settings.localLoadIsUnrepresentative() && localZoneHasEndpoints) {
            preferLocalZone();
        }
    }

    /** Assigns only the local zone's excess to the other zones, in proportion to the spare capacity of each. */
    private void preferLocalZone() {
        int localZoneIndex = settings.localZoneIndex();
        double meanRatePerSecond = gossip.livePeers() > 0 ? gossip.meanRatePerSecond() : 0;
        double localFraction = meanRatePerSecond <= 0
                ? 1
                : Math.min(
                        1,
                        RateMath.safeDivide(
                                fractions[localZoneIndex] * meanRatePerSecond,
                                gossip.zoneRatePerSecond(localZoneIndex)));
        double spareFractionSum = 0;
        for (int zone = 0; zone < fractions.length; zone++) {
            boolean receivesNoExcess = zone == localZoneIndex || meanRatePerSecond <= 0;
            fractions[zone] = receivesNoExcess
                    ? 0
                    : Math.max(0, fractions[zone] - gossip.zoneRatePerSecond(zone) / meanRatePerSecond);
            spareFractionSum += fractions[zone];
        }
        for (int zone = 0; zone < fractions.length; zone++) {
            fractions[zone] *= RateMath.safeDivide(1 - localFraction, spareFractionSum);
        }
        fractions[localZoneIndex] = localFraction;
    }

    /** Returns the fraction of this sidecar's requests, 0 to 1, that it sends to the zone. */
    double fraction(int zoneIndex) {
        return fractions[zoneIndex];
    }

    /** Returns the fraction of this sidecar's requests, 0 to 1, that stays in the local zone. */
    double localFraction() {
        return fractions[settings.localZoneIndex()];
    }
}
