package loadbalancer.decision;

import java.util.SplittableRandom;

/**
 * Selects the endpoint for a request by HALO_PoD: with sampled loads if {@link PolicySettings#samplesLoad} is true,
 * otherwise with estimated loads.
 *
 * <p>Without sampling, the selector makes up to three tries. The first try is made only if the local zone is preferred.
 * It considers the endpoints of the local zone below their load limit. If local requests say little about the load of
 * an endpoint, it considers those of the other zones instead for the fraction of the requests that
 * {@link ZoneTrafficSplit} sends there. The second try considers all endpoints with a free core, the third all
 * endpoints below their load limit.
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
