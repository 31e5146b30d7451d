package loadbalancer.decision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which endpoints this sidecar keeps connections to: all, or, where connections have a price, a subset.
 *
 * <p>The endpoints of each zone and machine type form a circle in an order that all sidecars share, and the subset
 * holds an arc of each circle. The sidecar's index determines where its arcs start, so that the subsets cover the
 * endpoints evenly and a change of the endpoint list shifts an arc by one place at most. The length of the arcs is
 * proportional to the sidecar's part of the fleet's rate, so that the number of sidecars that use an endpoint does not
 * depend on the size of the fleet.
 */
final class EndpointSubset {
    private static final long UPDATE_MICROS = 500_000;
    /** Least number of endpoints: the two of a draw and one in reserve. */
    private static final int MIN_SIZE = 3;
    /** With each update the wanted size shrinks to this part of its last value at most. */
    private static final double SHRINK_RATIO = 0.9;
    /** Multiples of this, modulo 1, spread the starts of the arcs evenly over the circle. */
    private static final double GOLDEN_SECTION = 0.6180339887498949;
    /**
     * Multiples of this, modulo 1, decide which sidecars round a fractional length up: on average over the sidecars the
     * fraction is kept. Differs from {@link #GOLDEN_SECTION} so that rounding and start are independent.
     */
    private static final double ROUNDING_STEP = 0.7548776662466927;

    private final PolicySettings settings;
    private final EndpointRegistry registry;
    private final RequestRateEstimator rates;
    private final ZoneShares zoneShares;
    private final IdleConnectionPolicy idleConnections;
    private List<TrackedEndpoint> members = List.of();
    private long updatedMicros;
    private double wantedSize;

    /**
     * Key of a circle. The methods are explicit because those of a record are linked at the first call, which is slow.
     */
    private record ZoneAndType(int zone, String machineType) {
        @Override
        public boolean equals(Object other) {
            return other instanceof ZoneAndType key && key.zone == zone && key.machineType.equals(machineType);
        }

        @Override
        public int hashCode() {
            return 31 * machineType.hashCode() + zone;
        }
    }

    EndpointSubset(
            PolicySettings settings,
            EndpointRegistry registry,
            RequestRateEstimator rates,
            ZoneShares zoneShares,
            IdleConnectionPolicy idleConnections) {
        this.settings = settings;
        this.registry = registry;
        this.rates = rates;
        this.zoneShares = zoneShares;
        this.idleConnections = idleConnections;
    }

    /** The endpoints of the subset; all ready ones where connections have no price. */
    List<TrackedEndpoint> members() {
        return members;
    }

    /** Makes the next {@link #update} choose again, however recent the last choice is. */
    void invalidate(long nowMicros) {
        updatedMicros = nowMicros - UPDATE_MICROS - 1;
    }

    /** Updates the zone shares and chooses the subset again, if the last choice is out of date. */
    void update(long nowMicros) {
        if (nowMicros - updatedMicros > UPDATE_MICROS) {
            updatedMicros = nowMicros;
            zoneShares.update();
            members = settings.usesSubset() ? choose() : registry.ready();
        }
    }

    private List<TrackedEndpoint> choose() {
        double size = size();
        int[] zoneSizes = new int[settings.zoneCount()];
        Map<ZoneAndType, List<TrackedEndpoint>> groups = new LinkedHashMap<>();
        for (TrackedEndpoint endpoint : registry.ready()) {
            ZoneAndType key =
                    new ZoneAndType(endpoint.zoneIndex(), endpoint.listEntry().machineType());
            groups.computeIfAbsent(key, unused -> new ArrayList<>()).add(endpoint);
            zoneSizes[endpoint.zoneIndex()]++;
        }
        List<TrackedEndpoint> chosen = new ArrayList<>();
        for (Map.Entry<ZoneAndType, List<TrackedEndpoint>> group : groups.entrySet()) {
            int zone = group.getKey().zone();
            addArc(group.getValue(), zone, size, zoneSizes[zone], chosen);
        }
        return chosen;
    }

    /** The size wanted now; remembers it, so that it can shrink slowly. */
    private double size() {
        double ready = registry.ready().size();
        double arc = RateMath.safeDivide(
                PolicySettings.SIDECARS_PER_ENDPOINT * ready * rates.localPerSecond(), rates.fleetPerSecond());
        wantedSize = Math.max(Math.max(MIN_SIZE, arc), SHRINK_RATIO * wantedSize);
        if (!idleConnections.hasLimit()) {
            return wantedSize;
        }
        // An idle limit: no more connections than can each be used twice within it.
        double usesInLimit = rates.localPerSecond() * idleConnections.limitMicros();
        double keptConnections = Math.max(1, usesInLimit / (2 * RateMath.MICROS_PER_SECOND));
        return Math.min(keptConnections, wantedSize);
    }

    private void addArc(
            List<TrackedEndpoint> group, int zone, double size, int zoneSize, List<TrackedEndpoint> chosen) {
        double share = zoneShares.share(zone) * size * group.size() / zoneSize;
        double rounded = Math.floor(share + settings.sidecarIndex() * ROUNDING_STEP % 1);
        double count = Math.max(zone == settings.localZoneIndex() ? 1 : 0, rounded);
        int start = (int) (settings.sidecarIndex() * GOLDEN_SECTION % 1 * group.size());
        for (int i = 0; i < Math.min(count, group.size()); i++) {
            chosen.add(group.get((i + start) % group.size()));
        }
    }
}
