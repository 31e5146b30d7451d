package loadbalancer.proxy.discovery;

import java.util.function.LongUnaryOperator;

/**
 * The pause after a failed call. There is none after the first failure, because the sidecar is expected to know changes
 * even while no call is open. From the second on it doubles up to a maximum, with jitter, because all sidecars see a
 * service fail at the same time. Not thread-safe.
 */
public final class ExponentialBackoff {
    /** Prevents an overflow; the maximum pause is reached long before. */
    private static final int MAX_DOUBLINGS = 20;

    private final long initialMicros;
    private final long maxMicros;
    /** Returns a random number from 0 (inclusive) to its argument (exclusive). */
    private final LongUnaryOperator random;

    private int failures;

    ExponentialBackoff(long initialMicros, long maxMicros, LongUnaryOperator random) {
        this.initialMicros = initialMicros;
        this.maxMicros = maxMicros;
        this.random = random;
    }

    /** Counts a failed call and returns the pause before the next, in microseconds. */
    long recordFailure() {
        failures++;
        if (failures == 1) {
            return 0;
        }
        int doublings = Math.min(failures - 2, MAX_DOUBLINGS);
        long longestMicros = Math.min(maxMicros, initialMicros << doublings);
        return longestMicros / 2 + random.applyAsLong(longestMicros / 2 + 1);
    }

    /** How many calls have failed since the last success. */
    int failures() {
        return failures;
    }

    void reset() {
        failures = 0;
    }
}
