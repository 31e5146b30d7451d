package loadbalancer.decision;

import java.util.SplittableRandom;

/**
 * Selects the endpoint for a request: by sampled load if health checks are allowed and cheap, otherwise by HALO_PoD
 * with the estimated load.
 *
 * <p>Without sampling, the selector makes up to three tries. If the local zone is preferred, the first try considers
 * only the endpoints of the local zone or, for requests that exceed the local zone's fraction of the traffic, only
 * those of the other zones. The second try considers all endpoints with a free core, the third all endpoints below
 * their load limit.
 */
final class EndpointSelector {
    private final PolicySettings settings;
    private final SplittableRandom random;
    private final RoutingRefresher routingRefresher;
    private final RoutingTable routingTable;
    private final ZoneTrafficSplit zoneTrafficSplit;
    private final PowerOfTwoSelector powerOfTwo;
    private final SampledLoadSelector sampledLoad;

    EndpointSelector(
            PolicySettings settings,
            SplittableRandom random,
            RoutingRefresher routingRefresher,
            RoutingTable routingTable,
            ZoneTrafficSplit zoneTrafficSplit,
            PowerOfTwoSelector powerOfTwo,
            SampledLoadSelector sampledLoad) {
        this.settings = settings;
        this.random = random;
        this.routingRefresher = routingRefresher;
        this.routingTable = routingTable;
        this.zoneTrafficSplit = zoneTrafficSplit;
        this.powerOfTwo = powerOfTwo;
        this.sampledLoad = sampledLoad;
    }

    /** Returns the endpoint for the request, or null if the request has to wait. */
    TrackedEndpoint select(long nowMicros, PendingRequest request) {
        routingRefresher.refreshIfDue(nowMicros);
        if (settings.samplesLoad()) {
            return sampledLoad.select(nowMicros, request);
        }
        WeightedSampler preferredCandidates =
                staysInLocalZone() ? routingTable.inLocalZone() : routingTable.inOtherZones();
        TrackedEndpoint endpoint =
                powerOfTwo.select(nowMicros, request, preferredCandidates, CapacityRequirement.BELOW_LIMIT, null);
        if (endpoint == null) {
            endpoint = powerOfTwo.select(nowMicros, request, routingTable.all(), CapacityRequirement.FREE_CORE, null);
        }
        if (endpoint == null) {
            endpoint = powerOfTwo.select(nowMicros, request, routingTable.all(), CapacityRequirement.BELOW_LIMIT, null);
        }
        return endpoint;
    }

    private boolean staysInLocalZone() {
        return !settings.localLoadIsUnrepresentative()
                || routingTable.inOtherZones().size() == 0
                || random.nextDouble() < zoneTrafficSplit.localFraction();
    }
}
