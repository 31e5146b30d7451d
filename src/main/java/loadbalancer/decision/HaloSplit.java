package loadbalancer.decision;

/**
 * The optimal split of a request rate over groups of equal servers: Eq. (4) of the HALO paper (section III-A), which
 * minimises the mean response time of M/M/1 servers.
 */
final class HaloSplit {
    /** Eq. (4) divides by the rate: a rate below this part of the capacity, also 0, is replaced by it. */
    private static final double LEAST_LOAD_RATIO = 1e-6;

    private HaloSplit() {}

    /**
     * Splits a request rate. Groups whose part would be negative get nothing, and the equation is solved again for the
     * others. At and beyond the capacity the split is proportional to the service rates (Corollary 3).
     *
     * @param serverCounts number of servers of each group
     * @param serviceRates requests a second that one server of each group can serve
     * @param arrivalRate requests a second for all groups together
     * @return the part of the requests for each whole group; the parts sum to 1, or all are 0
     */
    static double[] split(double[] serverCounts, double[] serviceRates, double arrivalRate) {
        int groups = serverCounts.length;
        boolean[] included = new boolean[groups];
        double capacity = 0;
        for (int i = 0; i < groups; i++) {
            included[i] = serverCounts[i] > 0 && serviceRates[i] > 0;
            capacity += included[i] ? serverCounts[i] * serviceRates[i] : 0;
        }
        double rate = Math.max(capacity * LEAST_LOAD_RATIO, Math.min(arrivalRate, capacity));
        double[] parts = new double[groups];
        for (int round = 0; round < groups; round++) {
            solve(serverCounts, serviceRates, rate, included, parts);
            if (!dropNegative(parts, included)) {
                break;
            }
        }
        for (int i = 0; i < groups; i++) {
            parts[i] = Math.max(0, Math.min(1, parts[i]));
        }
        return parts;
    }

    private static void solve(
            double[] serverCounts, double[] serviceRates, double rate, boolean[] included, double[] parts) {
        double rootSum = 0;
        double rateSum = 0;
        for (int i = 0; i < parts.length; i++) {
            rootSum += included[i] ? serverCounts[i] * Math.sqrt(serviceRates[i]) : 0;
            rateSum += included[i] ? serverCounts[i] * serviceRates[i] : 0;
        }
        for (int i = 0; i < parts.length; i++) {
            double root = Math.sqrt(serviceRates[i]);
            parts[i] = included[i]
                    ? serverCounts[i] * (serviceRates[i] * rootSum - root * rateSum + rate * root) / (rate * rootSum)
                    : 0;
        }
    }

    /** Excludes the groups with a negative part; true if there were any. */
    private static boolean dropNegative(double[] parts, boolean[] included) {
        boolean dropped = false;
        for (int i = 0; i < parts.length; i++) {
            if (parts[i] < 0) {
                included[i] = false;
                dropped = true;
            }
        }
        return dropped;
    }
}
