package loadbalancer.settings;

/** A tenant and its share of what the fleet can do; the quota is in requests a second. */
public record Tenant(String name, double share, double quotaPerSecond) {}
