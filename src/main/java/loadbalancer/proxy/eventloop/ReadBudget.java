package loadbalancer.proxy.eventloop;

import java.util.function.LongSupplier;

/**
 * Limits the time that one iteration of the event loop spends on received bytes. Once the time is used up, each further
 * connection is read only a little, and the rest of its bytes waits for the next iteration. Otherwise peers that send
 * much input that takes long to decode, such as very short chunks, could keep the loop from its timers for seconds.
 * Confined to the event loop.
 */
final class ReadBudget {
    private static final long MAX_NANOS_PER_ITERATION = 20_000_000;

    private static final long UNSET = 0;

    private final LongSupplier clockNanos;
    private long usedNanos;
    private boolean previousUsedUp;
    private long iteration;
    private long completedIteration;
    private long longestIterationNanos;
    private int exhaustedIterations;
    /** When the loop began to read the present connection; before that, when it finished the last one. */
    private long readStartNanos = UNSET;

    /** {@code clockNanos} returns the time of a monotonic clock, in nanoseconds. */
    ReadBudget(LongSupplier clockNanos) {
        this.clockNanos = clockNanos;
    }

    long nowNanos() {
        return clockNanos.getAsLong();
    }

    void startIteration() {
        longestIterationNanos = Math.max(longestIterationNanos, usedNanos);
        previousUsedUp = usedNanos >= MAX_NANOS_PER_ITERATION;
        exhaustedIterations += previousUsedUp ? 1 : 0;
        iteration++;
        usedNanos = 0;
        readStartNanos = UNSET;
    }

    /** Records that the loop has read all sockets that were ready in this iteration. */
    void finishIteration() {
        completedIteration = iteration;
    }

    /** Returns the number of the present iteration, or of the last one if none is in progress. */
    long iteration() {
        return iteration;
    }

    /** Returns the number of the last iteration that has read all sockets that were ready in it. */
    long completedIteration() {
        return completedIteration;
    }

    /**
     * Records that the loop begins to read one connection. The time between two connections of an iteration counts for
     * the second one, so that the clock is read only once for each.
     */
    void startReading() {
        if (readStartNanos == UNSET) {
            readStartNanos = clockNanos.getAsLong();
        }
    }

    /** Records that the loop has read one connection and handled what it has read. */
    void finishReading() {
        long nowNanos = clockNanos.getAsLong();
        usedNanos += nowNanos - readStartNanos;
        readStartNanos = nowNanos;
    }

    /**
     * Returns whether the loop has less time for reading than its connections need: the time of this iteration was used
     * up when the loop began to read the present connection, or that of the iteration before was used up.
     */
    boolean lacksTime() {
        return previousUsedUp || usedNanos >= MAX_NANOS_PER_ITERATION;
    }

    /**
     * Returns the longest time that an iteration spent on received bytes since the last call, and how many iterations
     * used up their time, as keys and values for the log with a leading space, and resets them.
     */
    String summarizeAndReset() {
        String line = " read_iteration_max_millis=" + longestIterationNanos / 1_000_000 + " read_iterations_exhausted="
                + exhaustedIterations;
        longestIterationNanos = 0;
        exhaustedIterations = 0;
        return line;
    }

    /** Returns whether the time of this iteration is used up now. */
    boolean isUsedUp() {
        return usedNanos + clockNanos.getAsLong() - readStartNanos >= MAX_NANOS_PER_ITERATION;
    }
}
