package loadbalancer.decision;

/**
 * Estimates how many requests of all sidecars the endpoints hold, from local attempts and gossip: the local attempts
 * may be a small part of an endpoint's queue.
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

    /** Requests of this sidecar that ready endpoints hold, without ejected ones, where no new request would wait. */
    double localInFlight(long nowMicros) {
        double inFlight = 0;
        for (TrackedEndpoint endpoint : attempts.busyEndpoints()) {
            if (endpoint.isReady() && !OutlierDetector.isEjected(endpoint, nowMicros)) {
                inFlight += Math.max(0, endpoint.localInFlight() - endpoint.reportedLoad.lostAttempts());
            }
        }
        return inFlight;
    }

    /** Requests of all sidecars: the mean of this one and its live peers, times the number of sidecars. */
    double fleetInFlight(long nowMicros) {
        return settings.sidecarCount() * (localInFlight(nowMicros) + gossip.livePeersInFlight()) / (livePeers() + 1);
    }

    /**
     * Requests of other sidecars on one endpoint, by its part of all cores; 0 where load reports or gossip rule it out.
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

    /** Number of live peers behind the estimate. */
    int livePeers() {
        return gossip.livePeers();
    }
}
