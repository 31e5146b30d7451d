package loadbalancer.proxy.eventloop;

/**
 * The clock that all components of a sidecar share. It counts microseconds and never goes back. It is set to Unix time
 * once, when it is created, so that its times can be compared with the start times of endpoints. Thread-safe.
 */
public final class MonotonicClock {
    private final long originUnixMicros = System.currentTimeMillis() * 1000;
    private final long originNanos = System.nanoTime();

    public long nowMicros() {
        return originUnixMicros + (System.nanoTime() - originNanos) / 1000;
    }
}
