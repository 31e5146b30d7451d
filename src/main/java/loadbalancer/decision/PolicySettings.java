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

/** The current settings and values derived from them, which are computed once per change by {@link #apply}. */
final class PolicySettings {
    /** Sidecars that share one endpoint where connections have a price: enough for an even total load. */
    static final int SIDECARS_PER_ENDPOINT = 10;
    /** Load is sampled only if two health checks per request cost no more than this part of the total value. */
    private static final double MAX_SAMPLING_PRICE = 0.005;
    /** Crossing zones is avoided if it costs at least this part of the total value. */
    private static final double LEAST_CROSS_ZONE_PRICE = 0.02;
    /** First estimate of an endpoint's cores where there are no load reports; response times correct it. */
    private static final double INITIAL_CORES = 2;

    private LoadBalancerSettings current;
    private final Map<String, RequestClass> requestClasses = new HashMap<>();
    private double highestPriorityWeight;
    private long highestPriorityObjectiveMicros;
    private long longestDeadlineMicros;
    private double quotaSumPerSecond;
    private int localZoneIndex;
    private boolean samplesLoad;

    void apply(LoadBalancerSettings settings) {
        current = settings;
        requestClasses.clear();
        highestPriorityWeight = 0;
        longestDeadlineMicros = 0;
        for (RequestClass requestClass : settings.requestClasses()) {
            requestClasses.put(requestClass.name(), requestClass);
            highestPriorityWeight = Math.max(highestPriorityWeight, requestClass.priorityWeight());
            longestDeadlineMicros = Math.max(longestDeadlineMicros, requestClass.deadlineMicros());
        }
        highestPriorityObjectiveMicros = shortestObjectiveMicros(settings, highestPriorityWeight);
        quotaSumPerSecond =
                settings.tenants().stream().mapToDouble(Tenant::quotaPerSecond).sum();
        localZoneIndex = zoneIndex(settings.zone());
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
        return requestClass.priorityWeight() / highestPriorityWeight;
    }

    /** The shortest latency objective of the classes of the highest priority. */
    long highestPriorityObjectiveMicros() {
        return highestPriorityObjectiveMicros;
    }

    long longestDeadlineMicros() {
        return longestDeadlineMicros;
    }

    /** Sum of all tenants' quotas, in requests a second; 0 without tenants. */
    double quotaSumPerSecond() {
        return quotaSumPerSecond;
    }

    /** The index of a zone in the settings; 0 if they do not list it. */
    int zoneIndex(String zone) {
        return Math.max(0, current.zones().indexOf(zone));
    }

    int zoneCount() {
        return current.zones().size();
    }

    int localZoneIndex() {
        return localZoneIndex;
    }

    boolean hasLoadReports() {
        return current.loadReporting() != LoadReporting.NONE;
    }

    /** First estimate of an endpoint's cores: 1 where load reports will raise it, else a guess. */
    double initialCores() {
        return hasLoadReports() ? 1 : INITIAL_CORES;
    }

    /** Whether both drawn endpoints are asked for a load report before a request is sent: the paper's sampled load. */
    boolean samplesLoad() {
        return samplesLoad;
    }

    /**
     * Whether hedged requests are allowed and health checks can distinguish an unresponsive endpoint from a busy one.
     */
    boolean hedgesRequests() {
        return samplesLoad && limits().hedging();
    }

    /** Whether the sidecar keeps to a subset of the endpoints: connections and handshakes have a price. */
    boolean usesSubset() {
        return prices().connection() > 0 && prices().handshake() > 0;
    }

    /**
     * Whether so many sidecars share an endpoint, without sampled load, that local requests say little about its load.
     */
    boolean localLoadIsUnrepresentative() {
        return !samplesLoad && sidecarCount() > SIDECARS_PER_ENDPOINT;
    }

    boolean prefersLocalZone() {
        return prices().crossZone() >= LEAST_CROSS_ZONE_PRICE;
    }

    boolean sendsGossip() {
        return limits().gossip() && sidecarCount() > 1;
    }
}
