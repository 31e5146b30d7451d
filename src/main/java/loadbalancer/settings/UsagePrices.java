package loadbalancer.settings;

/** Points of the result for each unit of use; 0 where it is free. */
public record UsagePrices(double crossZone, double gossip, double healthCheck, double connection, double handshake) {}
