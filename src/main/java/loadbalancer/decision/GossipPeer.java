package loadbalancer.decision;

/**
 * The last gossip of another sidecar about itself, bounded to plausible values.
 *
 * @param ratePerSecond requests a second that arrive at it
 * @param inFlight requests of that sidecar that endpoints hold
 * @param zoneIndex its zone, by its index in the settings
 * @param receivedMicros when its message arrived
 */
record GossipPeer(double ratePerSecond, double inFlight, int zoneIndex, long receivedMicros) {}
