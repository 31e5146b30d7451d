package loadbalancer.decision;

/** Decides whether an endpoint can take a request now, by its health, the rules for sends and its load. */
final class EndpointAvailability {
    /** Requests; estimated loads are fractional, and below this an endpoint counts as idle. */
    private static final double IDLE_LOAD = 0.5;
    /** Requests; a load this far below the number of cores leaves a core free. */
    private static final double FREE_CORE_TOLERANCE = 0.5;
    /** Requests by which a sampled load may exceed the limit: half of one, since sampled loads are whole numbers. */
    private static final double SAMPLED_TOLERANCE = 0.5;
    /** Requests by which an estimated load may exceed the limit. */
    private static final double ESTIMATE_TOLERANCE = 0.01;

    private final PolicySettings settings;
    private final OutlierDetector outliers;
    private final AttemptEligibility eligibility;
    private final SlowStart slowStart;
    private final LoadEstimator loads;
    private final SpeedEstimator speeds;

    EndpointAvailability(
            PolicySettings settings,
            OutlierDetector outliers,
            AttemptEligibility eligibility,
            SlowStart slowStart,
            LoadEstimator loads,
            SpeedEstimator speeds) {
        this.settings = settings;
        this.outliers = outliers;
        this.eligibility = eligibility;
        this.slowStart = slowStart;
        this.loads = loads;
        this.speeds = speeds;
    }

    /** Whether the endpoint is healthy, may be sent the request and has the room that is needed. */
    boolean canTake(long nowMicros, PendingRequest request, TrackedEndpoint endpoint, RoomNeeded needed) {
        if (!outliers.isAvailable(endpoint, nowMicros) || !eligibility.maySend(nowMicros, request, endpoint)) {
            return false;
        }
        double capacityRatio = slowStart.capacityRatio(endpoint, nowMicros);
        double cores = Math.max(1, endpoint.machineType().cores()) * capacityRatio;
        double load = loads.load(endpoint, nowMicros);
        if (needed == RoomNeeded.FREE_CORE) {
            return load < Math.max(1, Math.round(cores)) - FREE_CORE_TOLERANCE;
        }
        double tolerance = settings.samplesLoad() ? SAMPLED_TOLERANCE : ESTIMATE_TOLERANCE;
        if (load + 1 > Math.max(1, LoadEstimator.maxLoad(cores)) + tolerance) {
            return false;
        }
        boolean idle = !settings.localLoadIsUnrepresentative() && load < IDLE_LOAD && capacityRatio >= 1;
        return idle || respondsInTime(nowMicros, request, endpoint, load);
    }

    private boolean respondsInTime(long nowMicros, PendingRequest request, TrackedEndpoint endpoint, double load) {
        double expectedResponseMicros = speeds.expectedResponseMicros(endpoint, request.workMicros(), load, nowMicros);
        return nowMicros + expectedResponseMicros <= request.usefulUntilMicros();
    }
}
