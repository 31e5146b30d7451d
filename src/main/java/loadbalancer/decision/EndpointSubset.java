package loadbalancer.decision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which endpoints this sidecar keeps connections to: all, or, where connections have a price, of each zone and
 * machine type an arc of an order that all sidecars share. The arc starts at a point of the sidecar's number, so that
 * the subsets are even over the endpoints and a change of the list moves one place at most. Its length follows the
 * sidecar's part of the fleet's rate, so that an endpoint has as many streams at all sizes.
 */
final class EndpointSubset {
    private static final long UPDATE_MICROS = 500_000;
    /** Two draws and one in reserve. */
    private static final int MIN_SIZE = 3;
    /** The wanted size falls by this at most with each update. */
    private static final double SHRINK_RATIO = 0.9;
    /** Multiples of the golden section are evenly spread over a circle. */
    private static final double GOLDEN_SECTION = 0.6180339887498949;
    /** Rounds parts of an endpoint so that they come out right over many sidecars, independent of the start. */
    private static final double ROUNDING_STEP = 0.7548776662466927;

    private final PolicySettings settings;
    private final EndpointRegistry registry;
    private final RequestRateEstimator rates;
    private final ZoneShares zoneShares;
    private final IdleConnectionGuard idleConnections;
    private List<TrackedEndpoint> members = List.of();
    private long updatedMicros;
    private double wantedSize;

    /** Key of a group. Its methods are written out: generated ones are linked at their first call, which takes long. */
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
            IdleConnectionGuard idleConnections) {
        this.settings = settings;
        this.registry = registry;
        this.rates = rates;
        this.zoneShares = zoneShares;
        this.idleConnections = idleConnections;
    }

    List<TrackedEndpoint> members() {
        return members;
    }

    /** Makes the next {@link #update} choose anew. */
    void invalidate(long nowMicros) {
        updatedMicros = nowMicros - UPDATE_MICROS - 1;
    }

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
                    new ZoneAndType(endpoint.zone(), endpoint.listing().machineType());
            groups.computeIfAbsent(key, unused -> new ArrayList<>()).add(endpoint);
            zoneSizes[endpoint.zone()]++;
        }
        List<TrackedEndpoint> chosen = new ArrayList<>();
        for (Map.Entry<ZoneAndType, List<TrackedEndpoint>> group : groups.entrySet()) {
            int zone = group.getKey().zone();
            addArc(group.getValue(), zone, size, zoneSizes[zone], chosen);
        }
        return chosen;
    }

    private double size() {
        double ready = registry.ready().size();
        double arc = RateMath.divide(
                PolicySettings.SIDECARS_PER_ENDPOINT * ready * rates.localPerSecond(), rates.fleetPerSecond());
        wantedSize = Math.max(Math.max(MIN_SIZE, arc), SHRINK_RATIO * wantedSize);
        if (!idleConnections.hasLimit()) {
            return wantedSize;
        }
        // A connection is kept where it is used twice within the limit.
        double usesInLimit = rates.localPerSecond() * idleConnections.limitMicros();
        double keptConnections = Math.max(1, usesInLimit / (2 * RateMath.MICROS_PER_SECOND));
        return Math.min(keptConnections, wantedSize);
    }

    private void addArc(
            List<TrackedEndpoint> group, int zone, double size, int zoneSize, List<TrackedEndpoint> chosen) {
        double share = zoneShares.share(zone) * size * group.size() / zoneSize;
        double rounded = Math.floor(share + settings.sidecarIndex() * ROUNDING_STEP % 1);
        double count = Math.max(zone == settings.localZone() ? 1 : 0, rounded);
        int start = (int) (settings.sidecarIndex() * GOLDEN_SECTION % 1 * group.size());
        for (int i = 0; i < Math.min(count, group.size()); i++) {
            chosen.add(group.get((i + start) % group.size()));
        }
    }
}
