package loadbalancer.proxy.discovery;

/**
 * How long a call to discovery may take. If a long poll gets no response, the sidecar is expected to know the changes
 * that it missed 6 s after the silence began, or 2 s after the wait that the call asked for. A short wait and a short
 * margin leave most of that time for further calls. Any other call is answered at once by the discovery agent, which
 * runs on this machine; its timeout doubles with each failure, because a long list may be slow to reach a busy sidecar.
 *
 * @param waitMillis how long discovery may hold a long poll
 * @param silenceMillis how much later than that the response to a long poll may come
 * @param immediateMillis the timeout of any other call, before it is doubled
 */
public record WatchTimeouts(long waitMillis, long silenceMillis, long immediateMillis) {
    /** The timeouts in production. */
    public static final WatchTimeouts DEFAULT = new WatchTimeouts(2_000, 500, 250);

    private static final int MAX_DOUBLINGS = 2;

    long longPollTimeoutMillis() {
        return waitMillis + silenceMillis;
    }

    long immediateTimeoutMillis(int failures) {
        return immediateMillis << Math.min(failures, MAX_DOUBLINGS);
    }
}
