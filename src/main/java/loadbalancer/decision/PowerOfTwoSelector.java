package loadbalancer.decision;

import java.util.SplittableRandom;

/**
 * Selects an endpoint by HALO_PoD with D = 2 (section IV-C): draws two endpoints that can take the request, with
 * probabilities proportional to their routing weights {@code p_i / k_i}, and selects the one with less load per core. A
 * tie is broken by a random choice with the same weights.
 */
final class PowerOfTwoSelector {
    /** Maximum number of random draws for an endpoint that can take the request, before every candidate is checked. */
    private static final int MAX_DRAWS = 4;
    /** Maximum difference of two sampled loads that counts as a tie, in requests per core. */
    private static final double SAMPLED_TIE_TOLERANCE = 0.5;
    /** Maximum difference of two estimated loads that counts as a tie, in requests per core. */
    private static final double ESTIMATED_TIE_TOLERANCE = 1e-9;

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
     * Draws two endpoints that can take the request and returns the less loaded one.
     *
     * @param excluded an endpoint that must not be selected, or null
     * @return the selected endpoint, or null if no candidate can take the request
     */
    TrackedEndpoint select(
            long nowMicros,
            PendingRequest request,
            WeightedSampler candidates,
            CapacityRequirement requirement,
            TrackedEndpoint excluded) {
        TrackedEndpoint first = draw(nowMicros, request, candidates, requirement, excluded);
        if (first == null) {
            return null;
        }
        // The second draw must not return the first endpoint again. It may return the excluded one, which is then
        // ignored.
        TrackedEndpoint second = draw(nowMicros, request, candidates, requirement, first);
        return second == null || second == excluded ? first : lessLoaded(nowMicros, first, second);
    }

    /**
     * Draws one endpoint that can take the request, by routing weight.
     *
     * @param excluded an endpoint that must not be drawn, or null
     * @return the drawn endpoint, or null if no candidate can take the request
     */
    TrackedEndpoint draw(
            long nowMicros,
            PendingRequest request,
            WeightedSampler candidates,
            CapacityRequirement requirement,
            TrackedEndpoint excluded) {
        for (int i = 0; i < MAX_DRAWS && candidates.size() > 0; i++) {
            TrackedEndpoint endpoint = candidates.draw(random.nextDouble());
            if (endpoint != excluded && availability.canTake(nowMicros, request, endpoint, requirement)) {
                return endpoint;
            }
        }
        // Weighted reservoir sampling of the candidates that can take the request.
        double weightSum = 0;
        TrackedEndpoint selected = null;
        for (int i = 0; i < candidates.size(); i++) {
            TrackedEndpoint endpoint = candidates.get(i);
            if (endpoint != excluded && availability.canTake(nowMicros, request, endpoint, requirement)) {
                weightSum += endpoint.routingWeight();
                selected = random.nextDouble() * weightSum < endpoint.routingWeight() ? endpoint : selected;
            }
        }
        return selected;
    }

    /** Returns the endpoint with less load per core. In a tie, draws one of the two by routing weight. */
    TrackedEndpoint lessLoaded(long nowMicros, TrackedEndpoint first, TrackedEndpoint second) {
        double difference = loadPerCore(nowMicros, first) - loadPerCore(nowMicros, second);
        if (Math.abs(difference) > (settings.samplesLoad() ? SAMPLED_TIE_TOLERANCE : ESTIMATED_TIE_TOLERANCE)) {
            return difference < 0 ? first : second;
        }
        double weightSum = first.routingWeight() + second.routingWeight();
        return random.nextDouble() * weightSum < first.routingWeight() ? first : second;
    }

    private double loadPerCore(long nowMicros, TrackedEndpoint endpoint) {
        return loads.load(endpoint, nowMicros) / endpoint.machineType().cores();
    }
}
