package loadbalancer.decision;

/**
 * Creates and connects the classes of one load balancing policy that keep track of the endpoints and decide how
 * requests are split over them.
 */
final class EndpointRouting {
    final IdleConnectionPolicy idleConnections;
    final EndpointRegistry registry;
    final HealthChecks healthChecks;
    final OutlierDetector outliers;
    final ZoneShares zoneShares;
    final EndpointSubset subset;
    final RoutingTable table;
    final FleetLoadEstimator fleetLoad;

    EndpointRouting(Estimators estimators, LoadBalancerActions actions) {
        PolicySettings settings = estimators.settings;
        RequestRateEstimator rates = estimators.rates;
        SlowStart slowStart = estimators.slowStart;
        idleConnections = new IdleConnectionPolicy(settings, actions);
        registry = new EndpointRegistry(settings, idleConnections);
        healthChecks = new HealthChecks(actions);
        outliers = new OutlierDetector(registry);
        zoneShares = new ZoneShares(settings, registry, estimators.gossip);
        subset = new EndpointSubset(settings, registry, rates, zoneShares, idleConnections);
        table = new RoutingTable(settings, registry, subset, rates, estimators.work, estimators.speeds, slowStart);
        fleetLoad = new FleetLoadEstimator(settings, estimators.attempts, estimators.gossip, slowStart, table);
    }
}
