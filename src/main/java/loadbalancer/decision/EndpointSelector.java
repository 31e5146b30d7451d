package loadbalancer.decision;

import java.util.SplittableRandom;

/**
 * Chooses the endpoint for a request: by sampled load where health checks are allowed and cheap, else by HALO_PoD on
 * the estimated load.
 *
 * <p>Without sampling there are up to three tries. Where crossing zones has a price, the first is among the endpoints
 * of the local zone or, for the part of the requests that exceeds the zone's share, of the other zones. The second is
 * among all endpoints with a free core, the third among all with any room.
 */
final class EndpointSelector {
    private final PolicySettings settings;
    private final SplittableRandom random;
    private final RoutingRefresher routingRefresher;
    private final RoutingTable routingTable;
    private final ZoneShares zoneShares;
    private final PowerOfTwoSelector powerOfTwo;
    private final SampledLoadSelector sampledLoad;

    EndpointSelector(
            PolicySettings settings,
            SplittableRandom random,
            RoutingRefresher routingRefresher,
            RoutingTable routingTable,
            ZoneShares zoneShares,
            PowerOfTwoSelector powerOfTwo,
            SampledLoadSelector sampledLoad) {
        this.settings = settings;
        this.random = random;
        this.routingRefresher = routingRefresher;
        this.routingTable = routingTable;
        this.zoneShares = zoneShares;
        this.powerOfTwo = powerOfTwo;
        this.sampledLoad = sampledLoad;
    }

    /** The endpoint for the request, or null where it has to wait. */
    TrackedEndpoint select(long nowMicros, PendingRequest request) {
        routingRefresher.refreshIfDue(nowMicros);
        if (settings.samplesLoad()) {
            return sampledLoad.select(nowMicros, request);
        }
        WeightedSampler preferred = staysInLocalZone() ? routingTable.inLocalZone() : routingTable.inOtherZones();
        TrackedEndpoint endpoint = powerOfTwo.select(nowMicros, request, preferred, RoomNeeded.BELOW_LIMIT, null);
        if (endpoint == null) {
            endpoint = powerOfTwo.select(nowMicros, request, routingTable.all(), RoomNeeded.FREE_CORE, null);
        }
        if (endpoint == null) {
            endpoint = powerOfTwo.select(nowMicros, request, routingTable.all(), RoomNeeded.BELOW_LIMIT, null);
        }
        return endpoint;
    }

    private boolean staysInLocalZone() {
        return !settings.localLoadIsUnrepresentative()
                || routingTable.inOtherZones().size() == 0
                || random.nextDouble() < zoneShares.localShare();
    }
}
