package loadbalancer.decision;

/**
 * Decides whether an endpoint can take a request now. It can if it is healthy, the rules allow the send and the
 * endpoint has enough spare capacity.
 */
final class EndpointAvailability {
    /** An endpoint whose load is below this number of requests counts as idle; estimated loads are fractional. */
    private static final double IDLE_LOAD = 0.5;
    /**
     * An endpoint has a free core if its load is below its number of cores, reduced in slow start and rounded, by more
     * than this, in requests.
     */
    private static final double FREE_CORE_TOLERANCE = 0.5;
    /**
     * Requests by which a sampled load may exceed the load limit: half of one, because sampled loads are whole numbers.
     */
    private static final double SAMPLED_LOAD_TOLERANCE = 0.5;
    /** Requests by which an estimated load may exceed the load limit. */
    private static final double ESTIMATED_LOAD_TOLERANCE = 0.01;

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

    /** Returns whether the endpoint can take the request now and has the required spare capacity. */
    boolean canTake(long nowMicros, PendingRequest request, TrackedEndpoint endpoint, CapacityRequirement requirement) {
        if (!outliers.isAvailable(endpoint, nowMicros) || !eligibility.maySend(nowMicros, request, endpoint)) {
            return false;
        }
        double capacityRatio = slowStart.capacityRatio(endpoint, nowMicros);
        double cores = Math.max(1, endpoint.machineType().cores()) * capacityRatio;
        double load = loads.load(endpoint, nowMicros);
        if (requirement == CapacityRequirement.FREE_CORE) {
            return load < Math.max(1, Math.round(cores)) - FREE_CORE_TOLERANCE;
        }
        double tolerance = settings.samplesLoad() ? SAMPLED_LOAD_TOLERANCE : ESTIMATED_LOAD_TOLERANCE;
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
