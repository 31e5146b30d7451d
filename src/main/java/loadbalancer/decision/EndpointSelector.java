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
    private final RoutingRefresh refresh;
    private final RoutingTable routing;
    private final ZoneShares zoneShares;
    private final PowerOfTwoSelector powerOfTwo;
    private final HealthCheckedSelector healthChecked;

    EndpointSelector(
            PolicySettings settings,
            SplittableRandom random,
            RoutingRefresh refresh,
            RoutingTable routing,
            ZoneShares zoneShares,
            PowerOfTwoSelector powerOfTwo,
            HealthCheckedSelector healthChecked) {
        this.settings = settings;
        this.random = random;
        this.refresh = refresh;
        this.routing = routing;
        this.zoneShares = zoneShares;
        this.powerOfTwo = powerOfTwo;
        this.healthChecked = healthChecked;
    }

    /** The endpoint for the request, or null where it has to wait. */
    TrackedEndpoint select(long nowMicros, PendingRequest request) {
        refresh.refresh(nowMicros);
        if (settings.samplesLoad()) {
            return healthChecked.select(nowMicros, request);
        }
        WeightedSampler preferred = staysInLocalZone() ? routing.inLocalZone() : routing.inOtherZones();
        TrackedEndpoint endpoint = powerOfTwo.select(nowMicros, request, preferred, RoomNeeded.BELOW_LIMIT, null);
        if (endpoint == null) {
            endpoint = powerOfTwo.select(nowMicros, request, routing.all(), RoomNeeded.FREE_CORE, null);
        }
        if (endpoint == null) {
            endpoint = powerOfTwo.select(nowMicros, request, routing.all(), RoomNeeded.BELOW_LIMIT, null);
        }
        return endpoint;
    }

    private boolean staysInLocalZone() {
        return !settings.localLoadIsSmallPart()
                || routing.inOtherZones().size() == 0
                || random.nextDouble() < zoneShares.localShare();
    }
}
