package loadbalancer.decision;

/**
 * Selects an endpoint by sampled load, as HALO_PoD does (section IV-C). It draws a pair of endpoints, sends a health
 * check to each one whose load is not known, and lets the request wait for the load reports. The less loaded endpoint
 * is selected if it has a free core. After several pairs without a free core, an endpoint below its load limit is
 * sufficient. An endpoint that does not reply in time is not selected, unless no endpoint at all has reported since the
 * pair was drawn.
 */
final class SampledLoadSelector {
    /**
     * From this many compared pairs on, an endpoint below its load limit is selected even if it has no free core, and
     * each further pair is drawn only after a delay.
     */
    private static final int MIN_PAIRS_FOR_FALLBACK = 3;
    /**
     * Maximum wait for the replies of a pair, and first delay before a further pair: one sweep interval of the queue.
     */
    private static final long WAIT_MICROS = RequestQueue.SWEEP_INTERVAL_MICROS;
    /**
     * Maximum number of times that the delay before the next pair doubles. The delay limits the number of health checks
     * while a request waits long.
     */
    private static final int MAX_DOUBLINGS = 2;
    /**
     * A load report is current as long as the other sidecars are expected to have sent the endpoint fewer requests than
     * this since the report.
     */
    private static final double MAX_UNREPORTED_REQUESTS = 0.15;

    private final EndpointRegistry registry;
    private final RequestRateEstimator rates;
    private final RoutingTable routingTable;
    private final LoadReportHandler reportHandler;
    private final HealthChecks healthChecks;
    private final EndpointAvailability availability;
    private final PowerOfTwoSelector powerOfTwo;

    /** The state of load sampling for one request: the drawn pair of endpoints and the number of compared pairs. */
    static final class Sampling {
        /** Null if the request does not wait for the replies of a pair. */
        private TrackedEndpoint first;
        /** Null if only one endpoint could take the request. */
        private TrackedEndpoint second;

        private long drawnMicros;
        /** Earliest time at which another pair may be drawn. */
        private long nextPairMicros;

        private int comparedPairs;

        /** Returns whether the request waits for the replies of a pair. */
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

    /** Returns the endpoint for the request, or null if the request has to wait. */
    TrackedEndpoint select(long nowMicros, PendingRequest request) {
        return select(nowMicros, request, slowStartCandidate(nowMicros, request));
    }

    /**
     * Returns an endpoint in slow start that has a free core and can take the request now, or null. It becomes the
     * first endpoint of the next pair.
     */
    private TrackedEndpoint slowStartCandidate(long nowMicros, PendingRequest request) {
        for (int i = 0; i < routingTable.inSlowStart().size(); i++) {
            TrackedEndpoint endpoint = routingTable.inSlowStart().get(i);
            if (hasFreeCore(nowMicros, request, endpoint)) {
                return endpoint;
            }
        }
        return null;
    }

    private TrackedEndpoint select(long nowMicros, PendingRequest request, TrackedEndpoint slowStartEndpoint) {
        Sampling sampling = request.sampling;
        TrackedEndpoint reporting = reportHandler.reportingEndpoint();
        // After a pair without a suitable endpoint, any endpoint that has just reported a free core is selected.
        if (reporting != null && sampling.comparedPairs > 0 && hasFreeCore(nowMicros, request, reporting)) {
            sampling.first = null;
            return reporting;
        }
        if (!ensurePair(nowMicros, request, slowStartEndpoint) || awaitsReport(nowMicros, request)) {
            return null;
        }
        TrackedEndpoint first = sampling.first;
        TrackedEndpoint second = sampling.second;
        sampling.first = null;
        TrackedEndpoint best = lessLoaded(
                nowMicros, request, knownOrNull(nowMicros, request, first), knownOrNull(nowMicros, request, second));
        if (best == null && reportHandler.lastReportMicros() < sampling.drawnMicros) {
            // No endpoint has reported since the pair was drawn, so this sidecar itself is slow. Compare by local
            // attempts.
            return lessLoaded(nowMicros, request, first, second);
        }
        sampling.comparedPairs++;
        if (best != null
                && (sampling.comparedPairs >= MIN_PAIRS_FOR_FALLBACK || hasFreeCore(nowMicros, request, best))) {
            return best;
        }
        if (sampling.comparedPairs < MIN_PAIRS_FOR_FALLBACK) {
            return select(nowMicros, request, slowStartEndpoint);
        }
        sampling.nextPairMicros =
                nowMicros + (WAIT_MICROS << Math.min(sampling.comparedPairs - MIN_PAIRS_FOR_FALLBACK, MAX_DOUBLINGS));
        return null;
    }

    /** Returns whether the load of an endpoint of the pair is unknown and its report may still arrive in time. */
    private boolean awaitsReport(long nowMicros, PendingRequest request) {
        Sampling sampling = request.sampling;
        if (nowMicros - sampling.drawnMicros >= WAIT_MICROS) {
            return false;
        }
        return !isKnown(nowMicros, request, sampling.first)
                || sampling.second != null && !isKnown(nowMicros, request, sampling.second);
    }

    /**
     * Draws a pair and sends health checks to its endpoints whose load is unknown, unless the request already has a
     * pair. Returns whether the request has a pair now.
     */
    private boolean ensurePair(long nowMicros, PendingRequest request, TrackedEndpoint slowStartEndpoint) {
        Sampling sampling = request.sampling;
        if (sampling.first != null) {
            return true;
        }
        if (nowMicros < sampling.nextPairMicros) {
            return false;
        }
        sampling.first = slowStartEndpoint != null ? slowStartEndpoint : drawBelowLimit(nowMicros, request, null);
        if (sampling.first == null) {
            return false;
        }
        sampling.second = drawBelowLimit(nowMicros, request, sampling.first);
        sampling.drawnMicros = nowMicros;
        checkUnlessKnown(nowMicros, request, sampling.first);
        checkUnlessKnown(nowMicros, request, sampling.second);
        return true;
    }

    private TrackedEndpoint drawBelowLimit(long nowMicros, PendingRequest request, TrackedEndpoint excluded) {
        return powerOfTwo.draw(nowMicros, request, routingTable.all(), CapacityRequirement.BELOW_LIMIT, excluded);
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
     * Returns whether the endpoint's load is known well enough to compare it: the endpoint has reported since the pair
     * was drawn, or so recently that other sidecars are unlikely to have sent it requests since.
     */
    private boolean isKnown(long nowMicros, PendingRequest request, TrackedEndpoint endpoint) {
        long reportedMicros = endpoint.reportedLoad.reportedMicros();
        if (reportedMicros >= request.sampling.drawnMicros) {
            return true;
        }
        double remoteRatePerSecond = Math.max(0, rates.fleetPerSecond() - rates.localPerSecond());
        double remoteRequestsPerMicro =
                remoteRatePerSecond / Math.max(1, registry.ready().size()) / RateMath.MICROS_PER_SECOND;
        return (nowMicros - reportedMicros) * remoteRequestsPerMicro < MAX_UNREPORTED_REQUESTS;
    }

    private boolean hasFreeCore(long nowMicros, PendingRequest request, TrackedEndpoint endpoint) {
        return availability.canTake(nowMicros, request, endpoint, CapacityRequirement.FREE_CORE);
    }

    /**
     * Returns the less loaded of two endpoints, each of which may be null. Ignores an endpoint that can't take the
     * request; returns null if neither can.
     */
    private TrackedEndpoint lessLoaded(
            long nowMicros, PendingRequest request, TrackedEndpoint first, TrackedEndpoint second) {
        TrackedEndpoint firstBelowLimit = belowLimitOrNull(nowMicros, request, first);
        TrackedEndpoint secondBelowLimit = belowLimitOrNull(nowMicros, request, second);
        if (firstBelowLimit == null || secondBelowLimit == null) {
            return firstBelowLimit == null ? secondBelowLimit : firstBelowLimit;
        }
        return powerOfTwo.lessLoaded(nowMicros, firstBelowLimit, secondBelowLimit);
    }

    private TrackedEndpoint belowLimitOrNull(long nowMicros, PendingRequest request, TrackedEndpoint endpoint) {
        boolean canTake =
                endpoint != null && availability.canTake(nowMicros, request, endpoint, CapacityRequirement.BELOW_LIMIT);
        return canTake ? endpoint : null;
    }
}
