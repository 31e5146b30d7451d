package loadbalancer.decision;

/**
 * What another sidecar last said of itself.
 *
 * @param ratePerSecond requests a second that come to it
 * @param inFlight requests that endpoints hold for it
 * @param zone its zone, by the zone's number in the settings
 * @param receivedMicros when its message came
 */
record GossipPeer(double ratePerSecond, double inFlight, int zone, long receivedMicros) {}
