package loadbalancer.proxy.discovery;

/**
 * How long a call to discovery may take. Changes that a silent watch misses count as delivered 6 s after it fell
 * silent, or 2 s after the end of its wait: a short wait and a short margin leave most of that for further calls. A
 * call that need not wait is answered at once by the agent, which runs on this machine; its timeout doubles with each
 * failure, as a long list may take its time to reach a busy sidecar.
 *
 * @param waitMillis how long discovery may hold a long poll
 * @param silenceMillis how much later than that the response to a long poll may come
 * @param immediateMillis the timeout of any other call, before it is doubled
 */
public record WatchTimeouts(long waitMillis, long silenceMillis, long immediateMillis) {
    /** Those of a sidecar that serves. */
    public static final WatchTimeouts DEFAULT = new WatchTimeouts(2_000, 500, 250);

    private static final int MAX_DOUBLINGS = 2;

    long longPollTimeoutMillis() {
        return waitMillis + silenceMillis;
    }

    long immediateTimeoutMillis(int failures) {
        return immediateMillis << Math.min(failures, MAX_DOUBLINGS);
    }
}
