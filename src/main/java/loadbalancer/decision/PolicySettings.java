package loadbalancer.decision;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.settings.EndpointRules;
import loadbalancer.settings.LoadBalancerSettings;
import loadbalancer.settings.LoadReporting;
import loadbalancer.settings.RequestClass;
import loadbalancer.settings.RequestLimits;
import loadbalancer.settings.Tenant;
import loadbalancer.settings.UsagePrices;

/** The settings in force, and what the rules derive from them once per change. Written by {@link #apply} alone. */
final class PolicySettings {
    /** Sidecars that share one endpoint where connections cost: enough that their streams even out. */
    static final int SIDECARS_PER_ENDPOINT = 10;
    /** Load reports are sampled for each request only where the checks of a pair cost no more than this. */
    private static final double MAX_SAMPLING_PRICE = 0.005;
    /** Crossing zones is avoided from this price on. */
    private static final double LEAST_CROSS_ZONE_PRICE = 0.02;
    /** First guess of an endpoint's cores where no load report tells them; latencies correct it. */
    private static final double INITIAL_CORES = 2;

    private LoadBalancerSettings current;
    private final Map<String, RequestClass> requestClasses = new HashMap<>();
    private double topPriorityWeight;
    private long topLatencyObjectiveMicros;
    private long longestDeadlineMicros;
    private double quotaSumPerSecond;
    private int localZone;
    private boolean samplesLoad;

    void apply(LoadBalancerSettings settings) {
        current = settings;
        requestClasses.clear();
        topPriorityWeight = 0;
        longestDeadlineMicros = 0;
        for (RequestClass requestClass : settings.requestClasses()) {
            requestClasses.put(requestClass.name(), requestClass);
            topPriorityWeight = Math.max(topPriorityWeight, requestClass.priorityWeight());
            longestDeadlineMicros = Math.max(longestDeadlineMicros, requestClass.deadlineMicros());
        }
        topLatencyObjectiveMicros = shortestObjectiveMicros(settings, topPriorityWeight);
        quotaSumPerSecond =
                settings.tenants().stream().mapToDouble(Tenant::quotaPerSecond).sum();
        localZone = zoneIndex(settings.zone());
        samplesLoad = settings.limits().healthChecks()
                && settings.loadReporting() != LoadReporting.NONE
                && 2 * settings.prices().healthCheck() <= MAX_SAMPLING_PRICE;
    }

    private static long shortestObjectiveMicros(LoadBalancerSettings settings, double priorityWeight) {
        long shortest = Long.MAX_VALUE;
        for (RequestClass requestClass : settings.requestClasses()) {
            if (requestClass.priorityWeight() == priorityWeight) {
                shortest = Math.min(shortest, requestClass.latencyObjectiveMicros());
            }
        }
        return shortest == Long.MAX_VALUE ? 0 : shortest;
    }

    LoadBalancerSettings current() {
        return current;
    }

    RequestLimits limits() {
        return current.limits();
    }

    EndpointRules rules() {
        return current.rules();
    }

    UsagePrices prices() {
        return current.prices();
    }

    int sidecarCount() {
        return current.sidecarCount();
    }

    int sidecarIndex() {
        return current.sidecarIndex();
    }

    /** The request class of this name, or null. */
    RequestClass requestClass(String name) {
        return requestClasses.get(name);
    }

    /** The class's priority weight relative to the highest one. */
    double relativePriority(RequestClass requestClass) {
        return requestClass.priorityWeight() / topPriorityWeight;
    }

    /** The shortest latency objective of the classes of the highest priority. */
    long topLatencyObjectiveMicros() {
        return topLatencyObjectiveMicros;
    }

    long longestDeadlineMicros() {
        return longestDeadlineMicros;
    }

    /** Requests a second of all tenants' quotas together. */
    double quotaSumPerSecond() {
        return quotaSumPerSecond;
    }

    /** The number of a zone in the settings; 0 where they do not name it. */
    int zoneIndex(String zone) {
        return Math.max(0, current.zones().indexOf(zone));
    }

    int zoneCount() {
        return current.zones().size();
    }

    int localZone() {
        return localZone;
    }

    boolean hasLoadReports() {
        return current.loadReporting() != LoadReporting.NONE;
    }

    /** Where load reports tell the cores, one is assumed until the first of them. */
    double initialCores() {
        return hasLoadReports() ? 1 : INITIAL_CORES;
    }

    /** Both drawn endpoints are asked for a load report before a request is sent: the paper's sampled load. */
    boolean samplesLoad() {
        return samplesLoad;
    }

    /** A hedged request is allowed, and a health check tells an unresponsive endpoint from a busy one. */
    boolean hedgesRequests() {
        return samplesLoad && limits().hedging();
    }

    /** Connections and handshakes have a price: the sidecar keeps to a subset of the endpoints. */
    boolean usesSubset() {
        return prices().connection() > 0 && prices().handshake() > 0;
    }

    /** No load is sampled and so many sidecars share an endpoint that local requests say little of its load. */
    boolean localLoadIsSmallPart() {
        return !samplesLoad && sidecarCount() > SIDECARS_PER_ENDPOINT;
    }

    boolean crossZoneIsPriced() {
        return prices().crossZone() >= LEAST_CROSS_ZONE_PRICE;
    }

    boolean sendsGossip() {
        return limits().gossip() && sidecarCount() > 1;
    }
}
