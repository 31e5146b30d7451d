package loadbalancer.decision;

import java.util.SplittableRandom;

/**
 * HALO_PoD with D = 2 (section IV-C): two endpoints with room are drawn by their routing weights {@code p_i / k_i}, and
 * the less loaded one is chosen; ties are broken by the routing weights.
 */
final class PowerOfTwoSelector {
    /** Random draws for an endpoint with room before all candidates are tested. */
    private static final int MAX_DRAWS = 4;
    /** Requests per core; sampled loads that differ by no more are a tie. */
    private static final double SAMPLED_TIE = 0.5;
    /** Requests per core; estimated loads that differ by no more are a tie. */
    private static final double ESTIMATE_TIE = 1e-9;

    private final PolicySettings settings;
    private final SplittableRandom random;
    private final EndpointAvailability availability;
    private final LoadEstimator loads;

    PowerOfTwoSelector(
            PolicySettings settings, SplittableRandom random, EndpointAvailability availability, LoadEstimator loads) {
        this.settings = settings;
        this.random = random;
        this.availability = availability;
        this.loads = loads;
    }

    /**
     * Chooses one of two drawn endpoints.
     *
     * @param excluded an endpoint that is not to be drawn, or null
     * @return null where none has room
     */
    TrackedEndpoint select(
            long nowMicros,
            PendingRequest request,
            WeightedSampler candidates,
            RoomNeeded needed,
            TrackedEndpoint excluded) {
        TrackedEndpoint first = draw(nowMicros, request, candidates, needed, excluded);
        if (first == null) {
            return null;
        }
        TrackedEndpoint second = draw(nowMicros, request, candidates, needed, first);
        return second == null || second == excluded ? first : lessLoaded(nowMicros, first, second);
    }

    /** Draws one endpoint with room by its routing weight, or null if no candidate has room. */
    TrackedEndpoint draw(
            long nowMicros,
            PendingRequest request,
            WeightedSampler candidates,
            RoomNeeded needed,
            TrackedEndpoint excluded) {
        for (int i = 0; i < MAX_DRAWS && candidates.size() > 0; i++) {
            TrackedEndpoint endpoint = candidates.draw(random.nextDouble());
            if (endpoint != excluded && availability.canTake(nowMicros, request, endpoint, needed)) {
                return endpoint;
            }
        }
        double weightSum = 0;
        TrackedEndpoint chosen = null;
        for (int i = 0; i < candidates.size(); i++) {
            TrackedEndpoint endpoint = candidates.get(i);
            if (endpoint != excluded && availability.canTake(nowMicros, request, endpoint, needed)) {
                weightSum += endpoint.routingWeight();
                chosen = random.nextDouble() * weightSum < endpoint.routingWeight() ? endpoint : chosen;
            }
        }
        return chosen;
    }

    /** The one with less load per core; draws by routing weight if both are about equal. */
    TrackedEndpoint lessLoaded(long nowMicros, TrackedEndpoint first, TrackedEndpoint second) {
        double difference = loadPerCore(nowMicros, first) - loadPerCore(nowMicros, second);
        if (Math.abs(difference) > (settings.samplesLoad() ? SAMPLED_TIE : ESTIMATE_TIE)) {
            return difference < 0 ? first : second;
        }
        double weightSum = first.routingWeight() + second.routingWeight();
        return random.nextDouble() * weightSum < first.routingWeight() ? first : second;
    }

    private double loadPerCore(long nowMicros, TrackedEndpoint endpoint) {
        return loads.load(endpoint, nowMicros) / endpoint.machineType().cores();
    }
}
