package loadbalancer.decision;

/**
 * Estimates how many requests the endpoints hold for all sidecars, from local attempts and gossip: the local part of an
 * endpoint's queue may be small.
 */
final class FleetLoadEstimator {
    private final PolicySettings settings;
    private final InFlightAttempts attempts;
    private final GossipState gossip;
    private final SlowStart slowStart;
    private final RoutingTable routing;

    FleetLoadEstimator(
            PolicySettings settings,
            InFlightAttempts attempts,
            GossipState gossip,
            SlowStart slowStart,
            RoutingTable routing) {
        this.settings = settings;
        this.attempts = attempts;
        this.gossip = gossip;
        this.slowStart = slowStart;
        this.routing = routing;
    }

    /** Requests that endpoints hold for this sidecar; those on endpoints out of the draw delay nobody. */
    double localInFlight(long nowMicros) {
        double inFlight = 0;
        for (TrackedEndpoint endpoint : attempts.busyEndpoints()) {
            if (endpoint.isReady() && !OutlierDetector.isEjected(endpoint, nowMicros)) {
                inFlight += Math.max(0, endpoint.localInFlight() - endpoint.reportedLoad.lostAttempts());
            }
        }
        return inFlight;
    }

    /** The mean of this sidecar and its live peers, times the number of sidecars. */
    double fleetInFlight(long nowMicros) {
        return settings.sidecarCount() * (localInFlight(nowMicros) + gossip.remoteInFlight()) / (livePeers() + 1);
    }

    /** Requests of other sidecars on an endpoint that reports no load, by its part of the cores in service. */
    double remoteInFlight(TrackedEndpoint endpoint, long nowMicros) {
        if (settings.hasLoadReports()
                || livePeers() == 0
                || routing.cores() <= 0
                || OutlierDetector.isEjected(endpoint, nowMicros)) {
            return 0;
        }
        return (fleetInFlight(nowMicros) - localInFlight(nowMicros))
                * endpoint.machineType().cores()
                * slowStart.capacityRatio(endpoint, nowMicros)
                / routing.cores();
    }

    /** The number of peers that the estimate rests on. */
    int livePeers() {
        return gossip.livePeers();
    }
}
