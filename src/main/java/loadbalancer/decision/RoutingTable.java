package loadbalancer.decision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Solves Eq. (4) with the current estimates and keeps the endpoints of the subset with their routing weights. A routing
 * weight is the probability {@code p_i / k_i} with which an endpoint is drawn (HALO_PoD, section IV-C): its group's
 * fraction of the requests, divided by the number of endpoints in the group. Endpoints are grouped by machine type; an
 * endpoint that deviates from its machine type or is in slow start forms a group of its own.
 */
final class RoutingTable {
    /**
     * Minimum routing weight of an endpoint, relative to its service rate. It is greater than 0 so that an endpoint to
     * which Eq. (4) assigns no requests is drawn when all others are full.
     */
    private static final double MIN_WEIGHT_RATIO = 1e-6;

    private final PolicySettings settings;
    private final EndpointRegistry registry;
    private final EndpointSubset subset;
    private final RequestRateEstimator rates;
    private final WorkEstimator work;
    private final SpeedEstimator speeds;
    private final SlowStart slowStart;

    private final WeightedSampler all = new WeightedSampler();
    private final WeightedSampler inLocalZone = new WeightedSampler();
    private final WeightedSampler inOtherZones = new WeightedSampler();
    private final List<TrackedEndpoint> inSlowStart = new ArrayList<>();
    private double bestSpeedFactor = 1;
    private double cores;
    private double capacityPerSecond;
    private double weightSum;

    RoutingTable(
            PolicySettings settings,
            EndpointRegistry registry,
            EndpointSubset subset,
            RequestRateEstimator rates,
            WorkEstimator work,
            SpeedEstimator speeds,
            SlowStart slowStart) {
        this.settings = settings;
        this.registry = registry;
        this.subset = subset;
        this.rates = rates;
        this.work = work;
        this.speeds = speeds;
        this.slowStart = slowStart;
    }

    /** Solves Eq. (4) again, replaces the contents of the table and sets the routing weight of each endpoint. */
    void solve(long nowMicros) {
        clear();
        decayStaleEstimates(nowMicros);
        List<List<TrackedEndpoint>> groups =
                new ArrayList<>(groupMembers(nowMicros).values());
        double[] sizes = new double[groups.size()];
        double[] serviceRates = new double[groups.size()];
        for (int i = 0; i < sizes.length; i++) {
            sizes[i] = groups.get(i).size();
            serviceRates[i] = serviceRate(groups.get(i), nowMicros);
            addCapacity(groups.get(i), serviceRates[i], nowMicros);
        }
        double arrivalRate = rates.fleetPerSecond()
                * subset.members().size()
                / Math.max(1, registry.ready().size());
        double[] fractions = HaloSplit.split(sizes, serviceRates, arrivalRate);
        for (int i = 0; i < sizes.length; i++) {
            double weight = Math.max(fractions[i] / sizes[i], MIN_WEIGHT_RATIO * serviceRates[i]);
            for (TrackedEndpoint endpoint : groups.get(i)) {
                endpoint.setRoutingWeight(weight);
                add(endpoint, fractions[i] > 0, nowMicros);
            }
        }
    }

    private void clear() {
        bestSpeedFactor = registry.ready().isEmpty() ? 1 : Double.MAX_VALUE;
        all.clear();
        inLocalZone.clear();
        inOtherZones.clear();
        inSlowStart.clear();
        cores = 0;
        capacityPerSecond = 0;
        weightSum = 0;
    }

    /** Decays speed estimates that no recent response supports, so that endpoints estimated as slow are tried again. */
    private void decayStaleEstimates(long nowMicros) {
        for (MachineTypeEstimate machineType : registry.machineTypes()) {
            machineType.decayIfStale(nowMicros);
        }
        for (TrackedEndpoint endpoint : subset.members()) {
            speeds.decayIfStale(endpoint, nowMicros);
        }
    }

    /** Groups the members of the subset; the key is the machine type, or the endpoint if it forms its own group. */
    private Map<Object, List<TrackedEndpoint>> groupMembers(long nowMicros) {
        Map<Object, List<TrackedEndpoint>> groups = new LinkedHashMap<>();
        for (TrackedEndpoint endpoint : subset.members()) {
            boolean formsOwnGroup =
                    SpeedEstimator.isDeviating(endpoint) || slowStart.capacityRatio(endpoint, nowMicros) < 1;
            Object key = formsOwnGroup ? endpoint : endpoint.machineType();
            groups.computeIfAbsent(key, unused -> new ArrayList<>()).add(endpoint);
        }
        return groups;
    }

    /** Returns the requests per second that one endpoint of the group can serve. */
    private double serviceRate(List<TrackedEndpoint> group, long nowMicros) {
        TrackedEndpoint first = group.get(0);
        double speedFactorSum = 0;
        for (TrackedEndpoint endpoint : group) {
            speedFactorSum += endpoint.speedFactor();
        }
        double meanServiceMicros = speedFactorSum / (double) group.size() * work.meanWorkMicros();
        return RateMath.MICROS_PER_SECOND
                * first.machineType().cores()
                * slowStart.capacityRatio(first, nowMicros)
                / meanServiceMicros;
    }

    /** Adds the cores and the capacity of a group to the totals, scaled from the subset to all ready endpoints. */
    private void addCapacity(List<TrackedEndpoint> group, double serviceRate, long nowMicros) {
        int readyCount = registry.ready().size();
        int subsetSize = subset.members().size();
        for (TrackedEndpoint endpoint : group) {
            if (!OutlierDetector.isEjected(endpoint, nowMicros)) {
                double capacityRatio = slowStart.capacityRatio(endpoint, nowMicros);
                cores += endpoint.machineType().cores() * capacityRatio * readyCount / subsetSize;
                capacityPerSecond += serviceRate * readyCount / subsetSize;
            }
        }
    }

    private void add(TrackedEndpoint endpoint, boolean receivesRequests, long nowMicros) {
        double capacityRatio = slowStart.capacityRatio(endpoint, nowMicros);
        bestSpeedFactor = Math.min(bestSpeedFactor, endpoint.speedFactor() / capacityRatio);
        all.add(endpoint);
        weightSum += OutlierDetector.isEjected(endpoint, nowMicros) ? 0 : endpoint.routingWeight();
        if (settings.prefersLocalZone()) {
            (endpoint.zoneIndex() == settings.localZoneIndex() ? inLocalZone : inOtherZones).add(endpoint);
        }
        if (receivesRequests && capacityRatio < 1) {
            inSlowStart.add(endpoint);
        }
    }

    /** Returns the members of the subset. */
    WeightedSampler all() {
        return all;
    }

    /** Returns the members of the subset in the local zone; empty unless the local zone is preferred. */
    WeightedSampler inLocalZone() {
        return inLocalZone;
    }

    /** Returns the members of the subset in the other zones; empty unless the local zone is preferred. */
    WeightedSampler inOtherZones() {
        return inOtherZones;
    }

    /** Returns the endpoints in slow start to which Eq. (4) assigns requests. */
    List<TrackedEndpoint> inSlowStart() {
        return inSlowStart;
    }

    /**
     * Returns the lowest speed factor in the subset, where the speed factor of an endpoint in slow start is divided by
     * its capacity ratio; 1 if no endpoint is ready, {@link Double#MAX_VALUE} if endpoints are ready but the subset is
     * empty.
     */
    double bestSpeedFactor() {
        return bestSpeedFactor;
    }

    /**
     * Returns the number of cores of all ready endpoints that are not ejected, estimated from those in the subset. The
     * cores of an endpoint in slow start are multiplied by its capacity ratio.
     */
    double cores() {
        return cores;
    }

    /**
     * Returns the requests per second that all ready endpoints that are not ejected can serve together, estimated from
     * those in the subset.
     */
    double capacityPerSecond() {
        return capacityPerSecond;
    }

    /** Returns the sum of the routing weights of the subset's members that are not ejected. */
    double weightSum() {
        return weightSum;
    }
}
