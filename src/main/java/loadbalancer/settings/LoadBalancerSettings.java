package loadbalancer.settings;

import java.util.List;

/**
 * All settings of one sidecar, in force from its start or from a reload. The lists must not be modified.
 *
 * @param sidecarIndex number of this sidecar among all, from 0; used to make sidecars choose different endpoints and
 *     turns
 * @param sidecarCount number of all sidecars that share the endpoints, 1 or more
 * @param zone the local zone
 * @param zones names of all zones
 * @param machineTypes names of the machine types that endpoints may have
 * @param requestClasses the classes of requests, one or more with unique names
 * @param tenants tenants with a share of the service; empty if requests carry no tenant
 * @param limits what the site permits for a request
 * @param rules rules for starting and leaving endpoints
 * @param loadReporting when endpoints report their load
 * @param polledDiscovery whether the module has to poll for endpoint lists; otherwise discovery pushes changes. A
 *     reload can't change it
 * @param weightByWork whether the value of a request also grows with its work; no rule uses it
 * @param overQuotaWeight part of the priority weight that remains for a request beyond its tenant's quota; no rule uses
 *     it
 * @param prices prices of what the sidecars use
 * @param clockTickMicros shortest time between two calls of the module
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
        double overQuotaWeight,
        UsagePrices prices,
        long clockTickMicros) {}
