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

/** The current settings, and values derived from them by {@link #apply} once per change of the settings. */
final class PolicySettings {
    /** Average number of sidecars that use an endpoint if connections have a price: enough to balance the load. */
    static final int SIDECARS_PER_ENDPOINT = 10;
    /** Maximum price of two health checks per request at which load is sampled, as a fraction of the total value. */
    private static final double MAX_SAMPLING_PRICE = 0.005;
    /** Minimum price of crossing zones at which the local zone is preferred, as a fraction of the total value. */
    private static final double MIN_CROSS_ZONE_PRICE = 0.02;
    /** Initial estimate of an endpoint's cores if there are no load reports; response times correct it. */
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

    /** Returns the request class with this name, or null if there is none. */
    RequestClass requestClass(String name) {
        return requestClasses.get(name);
    }

    /** Returns the class's priority weight relative to the highest priority weight. */
    double relativePriority(RequestClass requestClass) {
        return requestClass.priorityWeight() / highestPriorityWeight;
    }

    /**
     * Returns the shortest latency objective of the classes with the highest priority weight; 0 without request
     * classes.
     */
    long highestPriorityObjectiveMicros() {
        return highestPriorityObjectiveMicros;
    }

    long longestDeadlineMicros() {
        return longestDeadlineMicros;
    }

    /** Returns the sum of all tenants' quotas, in requests per second; 0 if there are no tenants. */
    double quotaSumPerSecond() {
        return quotaSumPerSecond;
    }

    /** Returns the index of a zone in the settings, or 0 if the settings do not list it. */
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

    /** Returns the initial estimate of an endpoint's cores: 1 if load reports can increase it, otherwise a default. */
    double initialCores() {
        return hasLoadReports() ? 1 : INITIAL_CORES;
    }

    /**
     * Returns whether load is sampled as in the HALO paper: both drawn endpoints are asked for a load report before a
     * request is sent.
     */
    boolean samplesLoad() {
        return samplesLoad;
    }

    /**
     * Returns whether requests are hedged: hedging must be allowed, and load must be sampled so that health checks
     * distinguish an unresponsive endpoint from a busy one.
     */
    boolean hedgesRequests() {
        return samplesLoad && limits().hedging();
    }

    /**
     * Returns whether the sidecar uses only a subset of the endpoints, which it does if connections and handshakes have
     * a price.
     */
    boolean usesSubset() {
        return prices().connection() > 0 && prices().handshake() > 0;
    }

    /**
     * Returns whether local requests say little about an endpoint's load. This is the case if load is not sampled and
     * the fleet has more than {@link #SIDECARS_PER_ENDPOINT} sidecars, since that many may share an endpoint.
     */
    boolean localLoadIsUnrepresentative() {
        return !samplesLoad && sidecarCount() > SIDECARS_PER_ENDPOINT;
    }

    boolean prefersLocalZone() {
        return prices().crossZone() >= MIN_CROSS_ZONE_PRICE;
    }

    boolean sendsGossip() {
        return limits().gossip() && sidecarCount() > 1;
    }
}
