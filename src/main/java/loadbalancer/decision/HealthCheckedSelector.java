package loadbalancer.decision;

/**
 * Chooses an endpoint by sampled load, as HALO_PoD does (section IV-C): both of a drawn pair are asked for a load
 * report by health checks, unless their load is known, and the request waits for the answers. One with a free core
 * takes it; after some pairs without, the less loaded one with room. One that does not answer in time loses.
 */
final class HealthCheckedSelector {
    /** After so many pairs, one with a short queue will do. */
    private static final int MAX_PAIRS = 3;
    /** A pair's answers are waited for until the next sweep of the queue. */
    private static final long WAIT_MICROS = RequestQueue.SWEEP_MICROS;
    /** Further pairs are drawn ever more rarely, so that a wait costs a bounded number of checks. */
    private static final int MAX_DOUBLINGS = 2;
    /** A report is good for so many requests that other sidecars may have sent since. */
    private static final double MAX_UNSEEN_REQUESTS = 0.15;

    private final EndpointRegistry registry;
    private final RequestRateEstimator rates;
    private final RoutingTable routing;
    private final LoadReports reports;
    private final HealthChecks healthChecks;
    private final EndpointAvailability availability;
    private final PowerOfTwoSelector powerOfTwo;

    /** The pair that a request is compared by. */
    static final class Sampling {
        private TrackedEndpoint first;
        private TrackedEndpoint second;
        private long askedMicros;
        private long nextPairMicros;
        private int pairs;

        /** Whether a pair is being asked for its load. */
        boolean isInProgress() {
            return first != null;
        }
    }

    HealthCheckedSelector(
            EndpointRegistry registry,
            RequestRateEstimator rates,
            RoutingTable routing,
            LoadReports reports,
            HealthChecks healthChecks,
            EndpointAvailability availability,
            PowerOfTwoSelector powerOfTwo) {
        this.registry = registry;
        this.rates = rates;
        this.routing = routing;
        this.reports = reports;
        this.healthChecks = healthChecks;
        this.availability = availability;
        this.powerOfTwo = powerOfTwo;
    }

    /** The endpoint for the request, or null where it has to wait. */
    TrackedEndpoint select(long nowMicros, PendingRequest request) {
        return select(nowMicros, request, slowStartTurn(nowMicros, request));
    }

    /** An endpoint in slow start whose budget gives this sidecar a turn now, or null: it is one of the pair then. */
    private TrackedEndpoint slowStartTurn(long nowMicros, PendingRequest request) {
        for (int i = 0; i < routing.inSlowStart().size(); i++) {
            TrackedEndpoint endpoint = routing.inSlowStart().get(i);
            if (hasFreeCore(nowMicros, request, endpoint)) {
                return endpoint;
            }
        }
        return null;
    }

    private TrackedEndpoint select(long nowMicros, PendingRequest request, TrackedEndpoint turn) {
        Sampling sampling = request.sampling;
        TrackedEndpoint fresh = reports.freshEndpoint();
        if (fresh != null && sampling.pairs > 0 && hasFreeCore(nowMicros, request, fresh)) {
            sampling.first = null;
            return fresh;
        }
        if (!drawPair(nowMicros, request, turn) || isAwaited(nowMicros, request)) {
            return null;
        }
        TrackedEndpoint first = sampling.first;
        TrackedEndpoint second = sampling.second;
        sampling.first = null;
        TrackedEndpoint best = lessLoaded(
                nowMicros, request, knownOrNull(nowMicros, request, first), knownOrNull(nowMicros, request, second));
        if (best == null && reports.lastReportMicros() < sampling.askedMicros) {
            // No endpoint at all has reported since: the delay is here. Local attempts decide.
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

    /** Whether a load of the pair is unknown and its report may still come. */
    private boolean isAwaited(long nowMicros, PendingRequest request) {
        Sampling sampling = request.sampling;
        if (nowMicros - sampling.askedMicros >= WAIT_MICROS) {
            return false;
        }
        return !isKnown(nowMicros, request, sampling.first)
                || sampling.second != null && !isKnown(nowMicros, request, sampling.second);
    }

    /** Draws a pair and asks for its load, unless one is being asked already; false where there is none now. */
    private boolean drawPair(long nowMicros, PendingRequest request, TrackedEndpoint turn) {
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
        return powerOfTwo.draw(nowMicros, request, routing.all(), RoomNeeded.BELOW_LIMIT, excluded);
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
     * Whether the endpoint's load is known well enough to compare: reported since the request asked, or so lately that
     * other sidecars have hardly sent anything since.
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
        return availability.hasRoom(nowMicros, request, endpoint, RoomNeeded.FREE_CORE);
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
        boolean hasRoom =
                endpoint != null && availability.hasRoom(nowMicros, request, endpoint, RoomNeeded.BELOW_LIMIT);
        return hasRoom ? endpoint : null;
    }
}
