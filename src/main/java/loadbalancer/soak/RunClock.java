package loadbalancer.soak;

import java.util.concurrent.atomic.AtomicLong;

/**
 * The clock of one run: microseconds since its start, and the wall clock of the simulated machines, which may be
 * stepped. Thread-safe.
 */
final class RunClock {
    private final long originNanos = System.nanoTime();
    private final long originUnixMillis = System.currentTimeMillis();
    private final AtomicLong wallClockStepMillis = new AtomicLong();

    long nowMicros() {
        return (System.nanoTime() - originNanos) / 1_000;
    }

    /** Returns what the wall clock of the endpoints shows at a time of the run, in Unix milliseconds. */
    long unixMillisAt(long runMicros) {
        return originUnixMillis + runMicros / 1_000 + wallClockStepMillis.get();
    }

    /** Steps the wall clock of the endpoints. */
    void stepWallClock(long millis) {
        wallClockStepMillis.addAndGet(millis);
    }
}
