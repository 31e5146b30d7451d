package loadbalancer.settings;

/**
 * A tenant and the part of the service that is reserved for it. The module uses only the sum of all quotas, to reject
 * implausible gossip; it treats the requests of all tenants alike.
 *
 * @param name name that requests carry
 * @param share part of the service's capacity, 0 to 1
 * @param quotaPerSecond requests a second, over all sidecars, that the share covers
 */
public record Tenant(String name, double share, double quotaPerSecond) {}
