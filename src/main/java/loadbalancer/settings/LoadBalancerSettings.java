package loadbalancer.settings;

import java.util.List;

/** All that an instance is told at its start or by a reload. */
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
