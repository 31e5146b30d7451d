package loadbalancer.settings;

/**
 * Prices of the resources that the sidecars use. Each price is the fraction of the service's total value, 0 to 1, that
 * is lost at the amount of use stated for the parameter; the cost is proportional to the amount. A price of 0 means
 * that the use is free. The prices determine whether load is sampled, whether the local zone is preferred, whether a
 * sidecar uses only a subset of the endpoints, and how much gossip it sends.
 *
 * @param crossZone price of one cross-zone attempt per first attempt
 * @param gossip price of 256 delivered bytes of gossip per first attempt
 * @param healthCheck price of one health check per first attempt
 * @param connection price of 100 open connections per endpoint on average
 * @param handshake price of opening one connection per first attempt
 */
public record UsagePrices(double crossZone, double gossip, double healthCheck, double connection, double handshake) {}
