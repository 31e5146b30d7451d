package loadbalancer.settings;

/**
 * A tenant and the fraction of the service's capacity that is reserved for it. The decision module treats the requests
 * of all tenants alike. It uses only the sum of all quotas, as a bound on the request rates that gossip reports.
 *
 * @param name name of the tenant, which its requests carry
 * @param share reserved fraction of the service's capacity, 0 to 1
 * @param quotaPerSecond requests per second over all sidecars that the reserved capacity covers
 */
public record Tenant(String name, double share, double quotaPerSecond) {}
