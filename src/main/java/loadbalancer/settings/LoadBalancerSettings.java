package loadbalancer.settings;

import java.util.List;

/**
 * All settings of one sidecar. They take effect at its start or at a configuration reload. The lists must not be
 * modified.
 *
 * @param sidecarIndex index of this sidecar among all sidecars, from 0; identifies it in gossip, and makes sidecars
 *     choose different endpoint subsets and different times for their requests to an endpoint in slow start
 * @param sidecarCount number of sidecars that share the endpoints, 1 or more
 * @param zone the local zone
 * @param zones names of all zones
 * @param machineTypes names of the machine types that endpoints may have
 * @param requestClasses the request classes, at least one, with unique names
 * @param tenants tenants with a reserved fraction of the capacity; empty if requests carry no tenant
 * @param limits limits on attempts, connections and optional mechanisms
 * @param rules rules for endpoints that are in slow start, draining or removed
 * @param loadReporting when endpoints report their load
 * @param polledDiscovery whether the decision module has to poll discovery for endpoint lists; if false, discovery
 *     pushes changes. A reload can't change this value
 * @param weightByWork whether the priority weight of a request also grows with its work; no rule uses this value
 * @param overQuotaWeightRatio fraction of the priority weight that a request beyond its tenant's quota keeps; no rule
 *     uses this value
 * @param prices prices of the resources that the sidecars use
 * @param clockTickMicros shortest time between two calls to the decision module
 */
public record LoadBalancerSettings(
        int sidecarIndex,
        int sidecarCount,
        String zone,
        List<String> zones,
        List<String> machineTypes,
        List<RequestClass> requestClasses,
        List<Tenant> tenants,
        RequestLimits limits,
        EndpointRules rules,
        LoadReporting loadReporting,
        boolean polledDiscovery,
        boolean weightByWork,
        double overQuotaWeightRatio,
        UsagePrices prices,
        long clockTickMicros) {}
