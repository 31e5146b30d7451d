package loadbalancer.decision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Solves Eq. (4) with the current estimates and keeps the endpoints to draw from with their probabilities {@code p_i /
 * k_i} (HALO_PoD, section IV-C): the group's part of the requests, divided by its number of endpoints. The groups are
 * the machine types; an endpoint that deviates from its type or is in slow start is a group of its own.
 */
final class RoutingTable {
    /**
     * Endpoints to which Eq. (4) gives nothing get this part of their service rate as weight: they are drawn when all
     * others are full.
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
    private double capacity;
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

    /** Replaces the table by a new solution; sets the routing weight of each endpoint. */
    void solve(long nowMicros) {
        clear();
        decayStaleEstimates(nowMicros);
        List<List<TrackedEndpoint>> groups = new ArrayList<>(groups(nowMicros).values());
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
        double[] parts = HaloSplit.split(sizes, serviceRates, arrivalRate);
        for (int i = 0; i < sizes.length; i++) {
            double weight = Math.max(parts[i] / sizes[i], MIN_WEIGHT_RATIO * serviceRates[i]);
            for (TrackedEndpoint endpoint : groups.get(i)) {
                endpoint.setRoutingWeight(weight);
                add(endpoint, parts[i] > 0, nowMicros);
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
        capacity = 0;
        weightSum = 0;
    }

    /** Lets speed estimates without recent responses return, so that endpoints that seem slow are tried again. */
    private void decayStaleEstimates(long nowMicros) {
        for (MachineTypeEstimate machineType : registry.machineTypes()) {
            machineType.decayIfStale(nowMicros);
        }
        for (TrackedEndpoint endpoint : subset.members()) {
            speeds.decayIfStale(endpoint, nowMicros);
        }
    }

    /** The members of the subset by group, keyed by the machine type or by the endpoint itself. */
    private Map<Object, List<TrackedEndpoint>> groups(long nowMicros) {
        Map<Object, List<TrackedEndpoint>> groups = new LinkedHashMap<>();
        for (TrackedEndpoint endpoint : subset.members()) {
            boolean separate = SpeedEstimator.isDeviating(endpoint) || slowStart.capacityRatio(endpoint, nowMicros) < 1;
            Object key = separate ? endpoint : endpoint.machineType();
            groups.computeIfAbsent(key, unused -> new ArrayList<>()).add(endpoint);
        }
        return groups;
    }

    /** Requests a second that one endpoint of the group can serve. */
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

    /** Counts the group's cores and capacity, scaled from the subset to all ready endpoints. */
    private void addCapacity(List<TrackedEndpoint> group, double serviceRate, long nowMicros) {
        int ready = registry.ready().size();
        int members = subset.members().size();
        for (TrackedEndpoint endpoint : group) {
            if (!OutlierDetector.isEjected(endpoint, nowMicros)) {
                double capacityRatio = slowStart.capacityRatio(endpoint, nowMicros);
                cores += endpoint.machineType().cores() * capacityRatio * ready / members;
                capacity += serviceRate * ready / members;
            }
        }
    }

    private void add(TrackedEndpoint endpoint, boolean hasShare, long nowMicros) {
        double capacityRatio = slowStart.capacityRatio(endpoint, nowMicros);
        bestSpeedFactor = Math.min(bestSpeedFactor, endpoint.speedFactor() / capacityRatio);
        all.add(endpoint);
        weightSum += OutlierDetector.isEjected(endpoint, nowMicros) ? 0 : endpoint.routingWeight();
        if (settings.prefersLocalZone()) {
            (endpoint.zoneIndex() == settings.localZoneIndex() ? inLocalZone : inOtherZones).add(endpoint);
        }
        if (hasShare && capacityRatio < 1) {
            inSlowStart.add(endpoint);
        }
    }

    /** The members of the subset. */
    WeightedSampler all() {
        return all;
    }

    /** The members of the local zone; empty where crossing zones has no price. */
    WeightedSampler inLocalZone() {
        return inLocalZone;
    }

    /** The members of the other zones; empty where crossing zones has no price. */
    WeightedSampler inOtherZones() {
        return inOtherZones;
    }

    /** Endpoints in slow start that have a share of the requests. */
    List<TrackedEndpoint> inSlowStart() {
        return inSlowStart;
    }

    /** The speed factor of the fastest endpoint. */
    double bestSpeedFactor() {
        return bestSpeedFactor;
    }

    /** Cores of all ready endpoints that are not ejected, times the part that slow start leaves of each. */
    double cores() {
        return cores;
    }

    /** Requests a second that all ready endpoints that are not ejected can serve. */
    double capacityPerSecond() {
        return capacity;
    }

    /** The sum of the routing weights of the endpoints that are not ejected. */
    double weightSum() {
        return weightSum;
    }
}
