package loadbalancer.settings;

/**
 * A tenant and the fraction of the service's capacity that is reserved for it. The decision module treats the requests
 * of all tenants alike. It uses only the sum of all quotas, to limit implausibly high request rates in gossip.
 *
 * @param name name of the tenant, which its requests carry
 * @param reservedCapacityRatio reserved fraction of the service's capacity, 0 to 1
 * @param quotaPerSecond requests per second over all sidecars that the reserved capacity covers
 */
public record Tenant(String name, double reservedCapacityRatio, double quotaPerSecond) {}
