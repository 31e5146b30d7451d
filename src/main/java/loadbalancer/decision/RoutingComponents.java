package loadbalancer.decision;

/** Creates and connects the components that track the endpoints and decide how requests are split over them. */
final class RoutingComponents {
    final IdleConnectionPolicy idleConnections;
    final EndpointRegistry registry;
    final HealthChecks healthChecks;
    final OutlierDetector outliers;
    final ZoneTrafficSplit zoneTrafficSplit;
    final EndpointSubset subset;
    final RoutingTable table;
    final FleetLoadEstimator fleetLoad;

    RoutingComponents(Estimators estimators, LoadBalancerActions actions) {
        PolicySettings settings = estimators.settings;
        RequestRateEstimator rates = estimators.rates;
        SlowStart slowStart = estimators.slowStart;
        idleConnections = new IdleConnectionPolicy(settings, actions);
        registry = new EndpointRegistry(settings, idleConnections);
        healthChecks = new HealthChecks(actions);
        outliers = new OutlierDetector(registry);
        zoneTrafficSplit = new ZoneTrafficSplit(settings, registry, estimators.gossip);
        subset = new EndpointSubset(settings, registry, rates, zoneTrafficSplit, idleConnections);
        table = new RoutingTable(settings, registry, subset, rates, estimators.work, estimators.speeds, slowStart);
        fleetLoad = new FleetLoadEstimator(settings, estimators.attempts, estimators.gossip, slowStart, table);
    }
}
