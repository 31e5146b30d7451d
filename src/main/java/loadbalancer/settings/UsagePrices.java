package loadbalancer.settings;

/**
 * Prices of what the sidecars use. Each is the part of the service's total value that is lost at the rate of use named
 * below, in proportion to that rate; 0 means that the use is free. A mechanism that would cost more than it can gain is
 * not used.
 *
 * @param crossZone at one attempt to another zone for each first attempt
 * @param gossip at 256 delivered bytes of gossip for each first attempt
 * @param healthCheck at one health check for each first attempt
 * @param connection at a mean of 100 open connections to each endpoint
 * @param handshake at one new connection for each first attempt
 */
public record UsagePrices(double crossZone, double gossip, double healthCheck, double connection, double handshake) {}
