package loadbalancer.proxy.eventloop;

/**
 * The clock that all components of a sidecar share. It counts microseconds of real time and never goes back or jumps.
 * It is set to Unix time once, when it is created, so that its times are far from 0, but it must not be compared with
 * Unix time afterwards: the wall clock may be stepped. Thread-safe.
 */
public final class MonotonicClock {
    private final long originUnixMicros = System.currentTimeMillis() * 1000;
    private final long originNanos = System.nanoTime();

    public long nowMicros() {
        return originUnixMicros + (System.nanoTime() - originNanos) / 1000;
    }
}
