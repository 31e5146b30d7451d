package loadbalancer.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Draws endpoints with probabilities in proportion to their routing weights: one draw is one binary search. */
final class WeightedSampler {
    private static final int INITIAL_CAPACITY = 16;

    private final List<TrackedEndpoint> endpoints = new ArrayList<>();
    private double[] cumulativeWeights = new double[INITIAL_CAPACITY];

    void clear() {
        endpoints.clear();
    }

    /** Adds an endpoint with the routing weight that it has now. */
    void add(TrackedEndpoint endpoint) {
        int size = endpoints.size();
        if (size == cumulativeWeights.length) {
            cumulativeWeights = Arrays.copyOf(cumulativeWeights, 2 * size);
        }
        double before = size > 0 ? cumulativeWeights[size - 1] : 0;
        cumulativeWeights[size] = endpoint.routingWeight() + before;
        endpoints.add(endpoint);
    }

    int size() {
        return endpoints.size();
    }

    TrackedEndpoint get(int index) {
        return endpoints.get(index);
    }

    /**
     * The endpoint at a point of the summed weights.
     *
     * @param uniform a random number in [0, 1)
     */
    TrackedEndpoint draw(double uniform) {
        int size = endpoints.size();
        int found = Arrays.binarySearch(cumulativeWeights, 0, size, uniform * cumulativeWeights[size - 1]);
        int index = found < 0 ? -found - 1 : found + 1;
        return endpoints.get(Math.min(size - 1, index));
    }
}
