package loadbalancer.decision;

/**
 * Computes the optimal split of an arrival rate over groups of equal servers: Eq. (4) of the HALO paper (section
 * III-A), which minimizes the mean response time of M/M/1 servers.
 */
final class HaloSplit {
    /**
     * Minimum arrival rate relative to the capacity; lower rates are raised to it because Eq. (4) divides by the rate.
     */
    private static final double MIN_LOAD_RATIO = 1e-6;

    private HaloSplit() {}

    /**
     * Splits an arrival rate. If Eq. (4) gives a group a negative fraction, the group gets nothing and the equation is
     * solved again for the others. If the arrival rate reaches or exceeds the capacity, the split is proportional to
     * the service rates (Corollary 3).
     *
     * @param serverCounts number of servers of each group
     * @param serviceRates requests per second that one server of each group can serve
     * @param arrivalRate requests per second that arrive for all groups together
     * @return the fraction of the requests for each group as a whole; the fractions add up to 1, or all are 0 if no
     *     group has capacity
     */
    static double[] split(double[] serverCounts, double[] serviceRates, double arrivalRate) {
        int groupCount = serverCounts.length;
        boolean[] included = new boolean[groupCount];
        double capacity = 0;
        for (int i = 0; i < groupCount; i++) {
            included[i] = serverCounts[i] > 0 && serviceRates[i] > 0;
            capacity += included[i] ? serverCounts[i] * serviceRates[i] : 0;
        }
        double boundedRate = Math.max(capacity * MIN_LOAD_RATIO, Math.min(arrivalRate, capacity));
        double[] fractions = new double[groupCount];
        for (int round = 0; round < groupCount; round++) {
            solve(serverCounts, serviceRates, boundedRate, included, fractions);
            if (!excludeNegative(fractions, included)) {
                break;
            }
        }
        for (int i = 0; i < groupCount; i++) {
            fractions[i] = Math.max(0, Math.min(1, fractions[i]));
        }
        return fractions;
    }

    private static void solve(
            double[] serverCounts, double[] serviceRates, double arrivalRate, boolean[] included, double[] fractions) {
        double sqrtRateSum = 0;
        double serviceRateSum = 0;
        for (int i = 0; i < fractions.length; i++) {
            sqrtRateSum += included[i] ? serverCounts[i] * Math.sqrt(serviceRates[i]) : 0;
            serviceRateSum += included[i] ? serverCounts[i] * serviceRates[i] : 0;
        }
        for (int i = 0; i < fractions.length; i++) {
            double sqrtRate = Math.sqrt(serviceRates[i]);
            fractions[i] = included[i]
                    ? serverCounts[i]
                            * (serviceRates[i] * sqrtRateSum - sqrtRate * serviceRateSum + arrivalRate * sqrtRate)
                            / (arrivalRate * sqrtRateSum)
                    : 0;
        }
    }

    /** Excludes the groups with a negative fraction. Returns whether there were any. */
    private static boolean excludeNegative(double[] fractions, boolean[] included) {
        boolean anyExcluded = false;
        for (int i = 0; i < fractions.length; i++) {
            if (fractions[i] < 0) {
                included[i] = false;
                anyExcluded = true;
            }
        }
        return anyExcluded;
    }
}
