package loadbalancer.decision;

/**
 * Chooses an endpoint by sampled load, as HALO_PoD does (section IV-C): a health check asks both endpoints of a drawn
 * pair for a load report, unless their load is known, and the request waits for the reports. The less loaded one is
 * chosen if it has a free core; if several pairs had none, it is chosen if it has any room. An endpoint that does not
 * reply in time is not chosen.
 */
final class SampledLoadSelector {
    /** From this many pairs on, an endpoint with room is chosen even if it has no free core. */
    private static final int MAX_PAIRS = 3;
    /** Longest wait for the replies of a pair: until the next sweep of the queue. */
    private static final long WAIT_MICROS = RequestQueue.SWEEP_MICROS;
    /** The pause before each further pair doubles up to this many times, to limit the health checks of a long wait. */
    private static final int MAX_DOUBLINGS = 2;
    /**
     * A load report is current while other sidecars have sent the endpoint fewer requests than this since, on average.
     */
    private static final double MAX_UNSEEN_REQUESTS = 0.15;

    private final EndpointRegistry registry;
    private final RequestRateEstimator rates;
    private final RoutingTable routingTable;
    private final LoadReportHandler reportHandler;
    private final HealthChecks healthChecks;
    private final EndpointAvailability availability;
    private final PowerOfTwoSelector powerOfTwo;

    /** The pair of endpoints that was drawn for a request, and how many pairs were drawn before it. */
    static final class Sampling {
        /** Null where no pair is being asked. */
        private TrackedEndpoint first;
        /** Null where only one endpoint had room. */
        private TrackedEndpoint second;

        private long askedMicros;
        private long nextPairMicros;
        /** Pairs that were compared so far. */
        private int pairs;

        /** Whether the request waits for the replies of a pair. */
        boolean isInProgress() {
            return first != null;
        }
    }

    SampledLoadSelector(
            EndpointRegistry registry,
            RequestRateEstimator rates,
            RoutingTable routingTable,
            LoadReportHandler reportHandler,
            HealthChecks healthChecks,
            EndpointAvailability availability,
            PowerOfTwoSelector powerOfTwo) {
        this.registry = registry;
        this.rates = rates;
        this.routingTable = routingTable;
        this.reportHandler = reportHandler;
        this.healthChecks = healthChecks;
        this.availability = availability;
        this.powerOfTwo = powerOfTwo;
    }

    /** The endpoint for the request, or null where it has to wait. */
    TrackedEndpoint select(long nowMicros, PendingRequest request) {
        return select(nowMicros, request, slowStartTurn(nowMicros, request));
    }

    /** An endpoint in slow start that has a free core and may be sent the request now, or null. It joins the pair. */
    private TrackedEndpoint slowStartTurn(long nowMicros, PendingRequest request) {
        for (int i = 0; i < routingTable.inSlowStart().size(); i++) {
            TrackedEndpoint endpoint = routingTable.inSlowStart().get(i);
            if (hasFreeCore(nowMicros, request, endpoint)) {
                return endpoint;
            }
        }
        return null;
    }

    private TrackedEndpoint select(long nowMicros, PendingRequest request, TrackedEndpoint turn) {
        Sampling sampling = request.sampling;
        TrackedEndpoint fresh = reportHandler.freshEndpoint();
        if (fresh != null && sampling.pairs > 0 && hasFreeCore(nowMicros, request, fresh)) {
            sampling.first = null;
            return fresh;
        }
        if (!ensurePair(nowMicros, request, turn) || isAwaited(nowMicros, request)) {
            return null;
        }
        TrackedEndpoint first = sampling.first;
        TrackedEndpoint second = sampling.second;
        sampling.first = null;
        TrackedEndpoint best = lessLoaded(
                nowMicros, request, knownOrNull(nowMicros, request, first), knownOrNull(nowMicros, request, second));
        if (best == null && reportHandler.lastReportMicros() < sampling.askedMicros) {
            // No endpoint has reported since: this sidecar itself is late. Compare by local attempts.
            return lessLoaded(nowMicros, request, first, second);
        }
        sampling.pairs++;
        if (best != null && (sampling.pairs >= MAX_PAIRS || hasFreeCore(nowMicros, request, best))) {
            return best;
        }
        if (sampling.pairs < MAX_PAIRS) {
            return select(nowMicros, request, turn);
        }
        sampling.nextPairMicros = nowMicros + (WAIT_MICROS << Math.min(sampling.pairs - MAX_PAIRS, MAX_DOUBLINGS));
        return null;
    }

    /** Whether the load of one of the pair is unknown and its report may still come. */
    private boolean isAwaited(long nowMicros, PendingRequest request) {
        Sampling sampling = request.sampling;
        if (nowMicros - sampling.askedMicros >= WAIT_MICROS) {
            return false;
        }
        return !isKnown(nowMicros, request, sampling.first)
                || sampling.second != null && !isKnown(nowMicros, request, sampling.second);
    }

    /** Draws a pair and asks for its load, unless one is being asked already; false if none can be drawn now. */
    private boolean ensurePair(long nowMicros, PendingRequest request, TrackedEndpoint turn) {
        Sampling sampling = request.sampling;
        if (sampling.first != null) {
            return true;
        }
        if (nowMicros < sampling.nextPairMicros) {
            return false;
        }
        sampling.first = turn != null ? turn : drawWithRoom(nowMicros, request, null);
        if (sampling.first == null) {
            return false;
        }
        sampling.second = drawWithRoom(nowMicros, request, sampling.first);
        sampling.askedMicros = nowMicros;
        checkUnlessKnown(nowMicros, request, sampling.first);
        checkUnlessKnown(nowMicros, request, sampling.second);
        return true;
    }

    private TrackedEndpoint drawWithRoom(long nowMicros, PendingRequest request, TrackedEndpoint excluded) {
        return powerOfTwo.draw(nowMicros, request, routingTable.all(), RoomNeeded.BELOW_LIMIT, excluded);
    }

    private TrackedEndpoint knownOrNull(long nowMicros, PendingRequest request, TrackedEndpoint endpoint) {
        return endpoint != null && isKnown(nowMicros, request, endpoint) ? endpoint : null;
    }

    private void checkUnlessKnown(long nowMicros, PendingRequest request, TrackedEndpoint endpoint) {
        if (endpoint != null && !isKnown(nowMicros, request, endpoint)) {
            healthChecks.check(nowMicros, endpoint);
        }
    }

    /**
     * Whether the endpoint's load is known well enough to compare: reported since the pair was drawn, or so recently
     * that other sidecars have hardly sent anything since.
     */
    private boolean isKnown(long nowMicros, PendingRequest request, TrackedEndpoint endpoint) {
        long reportedMicros = endpoint.reportedLoad.reportedMicros();
        if (reportedMicros >= request.sampling.askedMicros) {
            return true;
        }
        double remoteRate = Math.max(0, rates.fleetPerSecond() - rates.localPerSecond());
        double remotePerEndpointMicro =
                remoteRate / Math.max(1, registry.ready().size()) / RateMath.MICROS_PER_SECOND;
        return (nowMicros - reportedMicros) * remotePerEndpointMicro < MAX_UNSEEN_REQUESTS;
    }

    private boolean hasFreeCore(long nowMicros, PendingRequest request, TrackedEndpoint endpoint) {
        return availability.canTake(nowMicros, request, endpoint, RoomNeeded.FREE_CORE);
    }

    /** The less loaded one with room of two endpoints, each of which may be null. */
    private TrackedEndpoint lessLoaded(
            long nowMicros, PendingRequest request, TrackedEndpoint first, TrackedEndpoint second) {
        TrackedEndpoint firstWithRoom = withRoomOrNull(nowMicros, request, first);
        TrackedEndpoint secondWithRoom = withRoomOrNull(nowMicros, request, second);
        if (firstWithRoom == null || secondWithRoom == null) {
            return firstWithRoom == null ? secondWithRoom : firstWithRoom;
        }
        return powerOfTwo.lessLoaded(nowMicros, firstWithRoom, secondWithRoom);
    }

    private TrackedEndpoint withRoomOrNull(long nowMicros, PendingRequest request, TrackedEndpoint endpoint) {
        boolean canTake =
                endpoint != null && availability.canTake(nowMicros, request, endpoint, RoomNeeded.BELOW_LIMIT);
        return canTake ? endpoint : null;
    }
}
