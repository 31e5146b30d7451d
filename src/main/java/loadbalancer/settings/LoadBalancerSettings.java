package loadbalancer.settings;

import java.util.List;

/** All that an instance is told at its start or by a reload. */
public record LoadBalancerSettings(
        int me,
        int balancers,
        String zone,
        List<String> zones,
        List<String> kinds,
        List<RequestClass> classes,
        List<Tenant> tenants,
        RequestLimits limits,
        EndpointRules rules,
        LoadReporting reports,
        boolean discoveryOnRequest,
        boolean worthByWork,
        double overShareWorth,
        UsagePrices prices,
        long tickUs) {}
