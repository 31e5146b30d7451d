package loadbalancer.settings;

/**
 * A tenant and the part of the service that is reserved for it.
 *
 * @param name name that requests carry
 * @param share part of the service's capacity, 0 to 1
 * @param quotaPerSecond requests a second over all sidecars that belong to the share; the priority of those beyond it
 *     is reduced by {@link LoadBalancerSettings#overQuotaWeight}
 */
public record Tenant(String name, double share, double quotaPerSecond) {}
