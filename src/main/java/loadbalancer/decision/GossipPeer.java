package loadbalancer.decision;

/**
 * The values of the last gossip message from another sidecar, limited to a plausible range.
 *
 * @param ratePerSecond requests per second that arrive at that sidecar
 * @param inFlight number of that sidecar's requests that endpoints hold
 * @param zoneIndex index in the settings of that sidecar's zone
 * @param receivedMicros when its message arrived
 */
record GossipPeer(double ratePerSecond, double inFlight, int zoneIndex, long receivedMicros) {}
