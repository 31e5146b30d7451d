package loadbalancer.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Draws endpoints with probabilities proportional to their routing weights, by binary search. */
final class WeightedSampler {
    private static final int INITIAL_CAPACITY = 16;

    private final List<TrackedEndpoint> endpoints = new ArrayList<>();
    private double[] cumulativeWeights = new double[INITIAL_CAPACITY];

    void clear() {
        endpoints.clear();
    }

    /** Adds an endpoint with its current routing weight; later changes of the weight have no effect. */
    void add(TrackedEndpoint endpoint) {
        int size = endpoints.size();
        if (size == cumulativeWeights.length) {
            cumulativeWeights = Arrays.copyOf(cumulativeWeights, 2 * size);
        }
        double previousSum = size > 0 ? cumulativeWeights[size - 1] : 0;
        cumulativeWeights[size] = endpoint.routingWeight() + previousSum;
        endpoints.add(endpoint);
    }

    int size() {
        return endpoints.size();
    }

    TrackedEndpoint get(int index) {
        return endpoints.get(index);
    }

    /**
     * Returns a random endpoint. The probability of each endpoint is proportional to its routing weight. The sampler
     * must not be empty.
     *
     * @param uniform a random number in [0, 1)
     */
    TrackedEndpoint draw(double uniform) {
        int size = endpoints.size();
        int searchResult = Arrays.binarySearch(cumulativeWeights, 0, size, uniform * cumulativeWeights[size - 1]);
        int index = searchResult < 0 ? -searchResult - 1 : searchResult + 1;
        return endpoints.get(Math.min(size - 1, index));
    }
}
