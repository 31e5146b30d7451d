package loadbalancer.decision;

/**
 * Estimates how many requests of all sidecars the endpoints hold, from local attempts and gossip. Gossip is needed
 * because the local attempts may be a small fraction of an endpoint's queue.
 */
final class FleetLoadEstimator {
    private final PolicySettings settings;
    private final InFlightAttempts attempts;
    private final GossipState gossip;
    private final SlowStart slowStart;
    private final RoutingTable routingTable;

    FleetLoadEstimator(
            PolicySettings settings,
            InFlightAttempts attempts,
            GossipState gossip,
            SlowStart slowStart,
            RoutingTable routingTable) {
        this.settings = settings;
        this.attempts = attempts;
        this.gossip = gossip;
        this.slowStart = slowStart;
        this.routingTable = routingTable;
    }

    /**
     * Returns the number of this sidecar's requests that ready endpoints hold. Leaves out ejected endpoints, since no
     * new request would wait there.
     */
    double localInFlight(long nowMicros) {
        double inFlight = 0;
        for (TrackedEndpoint endpoint : attempts.busyEndpoints()) {
            if (endpoint.isReady() && !OutlierDetector.isEjected(endpoint, nowMicros)) {
                inFlight += Math.max(0, endpoint.localInFlight() - endpoint.reportedLoad.lostAttempts());
            }
        }
        return inFlight;
    }

    /**
     * Returns the number of requests of all sidecars that endpoints hold: the mean over this sidecar and its live
     * peers, multiplied by the number of sidecars.
     */
    double fleetInFlight(long nowMicros) {
        return settings.sidecarCount() * (localInFlight(nowMicros) + gossip.livePeersInFlight()) / (livePeers() + 1);
    }

    /**
     * Returns the number of requests of other sidecars on one endpoint, in proportion to its fraction of all cores; 0
     * if endpoints send load reports, no peer is live, no cores are known or the endpoint is ejected.
     */
    double remoteInFlight(TrackedEndpoint endpoint, long nowMicros) {
        if (settings.hasLoadReports()
                || livePeers() == 0
                || routingTable.cores() <= 0
                || OutlierDetector.isEjected(endpoint, nowMicros)) {
            return 0;
        }
        return (fleetInFlight(nowMicros) - localInFlight(nowMicros))
                * endpoint.machineType().cores()
                * slowStart.capacityRatio(endpoint, nowMicros)
                / routingTable.cores();
    }

    /** Returns the number of live peers that the estimate is based on. */
    int livePeers() {
        return gossip.livePeers();
    }
}
