package loadbalancer.proxy.discovery;

import java.util.function.LongUnaryOperator;

/**
 * Determines the pause after a failed call. There is no pause after the first of consecutive failures, because the
 * sidecar is expected to know a change even if no call was open when it happened. From the second failure on, the pause
 * is a random time between half of a limit and the limit. The limit doubles with each further failure, up to a maximum.
 * The pause is random because all sidecars notice a failure of discovery at the same time and should not repeat their
 * calls at the same time. Not thread-safe.
 */
public final class ExponentialBackoff {
    /** Prevents an overflow. The maximum pause is reached after far fewer doublings. */
    private static final int MAX_DOUBLINGS = 20;

    /** The limit of the pause after the second consecutive failure. */
    private final long initialPauseMicros;

    private final long maxPauseMicros;
    /** Returns a random number from 0 (inclusive) to its argument (exclusive). */
    private final LongUnaryOperator boundedRandom;

    private int consecutiveFailures;

    ExponentialBackoff(long initialPauseMicros, long maxPauseMicros, LongUnaryOperator boundedRandom) {
        this.initialPauseMicros = initialPauseMicros;
        this.maxPauseMicros = maxPauseMicros;
        this.boundedRandom = boundedRandom;
    }

    /** Counts a failed call and returns the pause before the next call, in microseconds. */
    long recordFailure() {
        consecutiveFailures++;
        if (consecutiveFailures == 1) {
            return 0;
        }
        int doublings = Math.min(consecutiveFailures - 2, MAX_DOUBLINGS);
        long longestPauseMicros = Math.min(maxPauseMicros, initialPauseMicros << doublings);
        return longestPauseMicros / 2 + boundedRandom.applyAsLong(longestPauseMicros / 2 + 1);
    }

    /** Returns the number of calls that have failed since the last successful call. */
    int consecutiveFailures() {
        return consecutiveFailures;
    }

    void reset() {
        consecutiveFailures = 0;
    }
}
