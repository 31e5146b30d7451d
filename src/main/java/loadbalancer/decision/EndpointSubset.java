package loadbalancer.decision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which endpoints this sidecar keeps connections to: all of them or, if connections have a price, a subset.
 *
 * <p>The endpoints of each zone and machine type form a ring, in an order that is the same on all sidecars, and the
 * subset contains a segment of consecutive endpoints of each ring. The sidecar's index determines where its segments
 * start, so that the subsets of all sidecars cover the endpoints evenly and one added or removed endpoint shifts a
 * segment by one position at most. The length of the segments is proportional to the sidecar's fraction of the fleet's
 * request rate, so that the number of sidecars that use an endpoint does not depend on the size of the fleet. Each ring
 * of the local zone contributes at least one endpoint, and each ring of any zone if the local zone has none.
 */
final class EndpointSubset {
    private static final long UPDATE_INTERVAL_MICROS = 500_000;
    /**
     * Minimum target size: two endpoints for a draw and one spare. An idle limit or rounding can make the subset
     * smaller.
     */
    private static final int MIN_SIZE = 3;
    /** Each update reduces the target size to no less than this fraction of its previous value. */
    private static final double MIN_SHRINK_RATIO = 0.9;
    /** Multiples of this, modulo 1, distribute the starts of the segments evenly over a ring. */
    private static final double GOLDEN_RATIO_CONJUGATE = 0.6180339887498949;
    /**
     * Multiples of this, modulo 1, decide which sidecars round a fractional segment length up, so that the average over
     * all sidecars is the exact length. The value differs from {@link #GOLDEN_RATIO_CONJUGATE} so that a sidecar's
     * rounding does not depend on where its segment starts.
     */
    private static final double ROUNDING_STEP = 0.7548776662466927;

    private final PolicySettings settings;
    private final EndpointRegistry registry;
    private final RequestRateEstimator rates;
    private final ZoneTrafficSplit zoneTrafficSplit;
    private final IdleConnectionPolicy idleConnections;
    private List<TrackedEndpoint> members = List.of();
    private long lastUpdateMicros;
    private double targetSize;

    /**
     * Identifies a ring. {@code equals} and {@code hashCode} are written out because those generated for a record are
     * linked at the first call, which is slow.
     */
    private record ZoneAndMachineType(int zoneIndex, String machineType) {
        @Override
        public boolean equals(Object other) {
            return other instanceof ZoneAndMachineType key
                    && key.zoneIndex == zoneIndex
                    && key.machineType.equals(machineType);
        }

        @Override
        public int hashCode() {
            return 31 * machineType.hashCode() + zoneIndex;
        }
    }

    EndpointSubset(
            PolicySettings settings,
            EndpointRegistry registry,
            RequestRateEstimator rates,
            ZoneTrafficSplit zoneTrafficSplit,
            IdleConnectionPolicy idleConnections) {
        this.settings = settings;
        this.registry = registry;
        this.rates = rates;
        this.zoneTrafficSplit = zoneTrafficSplit;
        this.idleConnections = idleConnections;
    }

    /** Returns the endpoints of the subset; all ready endpoints if no subset is used. */
    List<TrackedEndpoint> members() {
        return members;
    }

    /** Makes the next {@link #update} select the subset again, even if the last update is recent. */
    void invalidate(long nowMicros) {
        lastUpdateMicros = nowMicros - UPDATE_INTERVAL_MICROS - 1;
    }

    /** Updates the zone fractions and selects the subset again if the last update is out of date. */
    void update(long nowMicros) {
        if (nowMicros - lastUpdateMicros > UPDATE_INTERVAL_MICROS) {
            lastUpdateMicros = nowMicros;
            zoneTrafficSplit.update();
            members = settings.usesSubset() ? selectMembers() : registry.ready();
        }
    }

    private List<TrackedEndpoint> selectMembers() {
        double size = updateTargetSize();
        int[] readyCountByZone = new int[settings.zoneCount()];
        Map<ZoneAndMachineType, List<TrackedEndpoint>> rings = new LinkedHashMap<>();
        for (TrackedEndpoint endpoint : registry.ready()) {
            ZoneAndMachineType key = new ZoneAndMachineType(
                    endpoint.zoneIndex(), endpoint.listEntry().machineType());
            rings.computeIfAbsent(key, unused -> new ArrayList<>()).add(endpoint);
            readyCountByZone[endpoint.zoneIndex()]++;
        }
        boolean localZoneHasEndpoints = readyCountByZone[settings.localZoneIndex()] > 0;
        List<TrackedEndpoint> selected = new ArrayList<>();
        for (Map.Entry<ZoneAndMachineType, List<TrackedEndpoint>> ring : rings.entrySet()) {
            int zoneIndex = ring.getKey().zoneIndex();
            double exactSize = zoneTrafficSplit.fraction(zoneIndex)
                    * size
                    * ring.getValue().size()
                    / readyCountByZone[zoneIndex];
            boolean mustContribute = !localZoneHasEndpoints || zoneIndex == settings.localZoneIndex();
            addSegment(ring.getValue(), exactSize, mustContribute ? 1 : 0, selected);
        }
        return selected;
    }

    /** Updates the target size, which shrinks slowly, and returns the number of endpoints to select. */
    private double updateTargetSize() {
        double readyCount = registry.ready().size();
        double proportionalSize = RateMath.safeDivide(
                PolicySettings.SIDECARS_PER_ENDPOINT * readyCount * rates.localPerSecond(), rates.fleetPerSecond());
        targetSize = Math.max(Math.max(MIN_SIZE, proportionalSize), MIN_SHRINK_RATIO * targetSize);
        if (!idleConnections.hasLimit()) {
            return targetSize;
        }
        // Select no more endpoints than can each be sent two requests within the idle limit. The first product is in
        // millionths of a request, because the rate is per second and the limit in microseconds.
        double microRequestsInLimit = rates.localPerSecond() * idleConnections.limitMicros();
        double maxSize = Math.max(1, microRequestsInLimit / (2 * RateMath.MICROS_PER_SECOND));
        return Math.min(maxSize, targetSize);
    }

    /** Adds this sidecar's segment of one ring to the selected endpoints. */
    private void addSegment(List<TrackedEndpoint> ring, double exactSize, int minSize, List<TrackedEndpoint> selected) {
        double roundedSize = Math.floor(exactSize + settings.sidecarIndex() * ROUNDING_STEP % 1);
        double count = Math.max(minSize, roundedSize);
        int start = (int) (settings.sidecarIndex() * GOLDEN_RATIO_CONJUGATE % 1 * ring.size());
        for (int i = 0; i < Math.min(count, ring.size()); i++) {
            selected.add(ring.get((i + start) % ring.size()));
        }
    }
}
