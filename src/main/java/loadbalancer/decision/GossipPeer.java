package loadbalancer.decision;

/**
 * The last gossip of another sidecar about itself, bounded to plausible values.
 *
 * @param ratePerSecond requests a second that arrive at it
 * @param inFlight requests of that sidecar that endpoints hold
 * @param zone its zone, by the zone's number in the settings
 * @param receivedMicros when its message arrived
 */
record GossipPeer(double ratePerSecond, double inFlight, int zone, long receivedMicros) {}
