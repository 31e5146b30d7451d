package loadbalancer.proxy.discovery;

/**
 * How long calls are waited for. A silent watch is broken, and what it misses counts as told 6 s after it fell silent,
 * or 2 s after its wait is over: a short wait and little patience leave most of that for asking anew. The agent, on
 * this machine, answers at once what need not wait; one that does not is asked again, ever more patiently, as a long
 * list to a busy sidecar may take its time.
 */
public record WatchTimeouts(long waitMs, long silentMs, long promptMs) {
    public static final WatchTimeouts USUAL = new WatchTimeouts(2_000, 500, 250);
    private static final int MOST_DOUBLED = 2;

    long ms(boolean waits, int failures) {
        return waits ? waitMs + silentMs : promptMs << Math.min(failures, MOST_DOUBLED);
    }
}
