package loadbalancer.settings;

/**
 * Prices of what the sidecars use. Each price is the part of the service's total value, 0 to 1, that is lost at the
 * amount of use named for it below; other amounts cost in proportion. 0 means that the use is free. A mechanism that
 * would cost more than it can gain is not used.
 *
 * @param crossZone price of one attempt to another zone per first attempt
 * @param gossip price of 256 delivered bytes of gossip per first attempt
 * @param healthCheck price of one health check per first attempt
 * @param connection price of a mean of 100 open connections to each endpoint
 * @param handshake price of one new connection per first attempt
 */
public record UsagePrices(double crossZone, double gossip, double healthCheck, double connection, double handshake) {}
