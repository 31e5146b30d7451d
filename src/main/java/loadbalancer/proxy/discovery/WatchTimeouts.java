package loadbalancer.proxy.discovery;

/**
 * Timeouts of calls to discovery. The sidecar is expected to know missed changes 6 s after discovery stopped
 * responding; for a long poll, 2 s after the end of the wait that the call asked for, if that is later (the timeouts
 * keep to the earlier of the two times, which is stricter). A short wait and a short margin leave most of that time for
 * further calls.
 *
 * <p>Any other call is an immediate call: discovery, whose agent runs on this machine, answers it at once. The timeout
 * of immediate calls doubles with each consecutive failure, at most twice, because a long list may reach a busy sidecar
 * slowly.
 *
 * @param longPollWaitMillis how long discovery may delay the response to a long poll
 * @param longPollMarginMillis how long after that delay the response to a long poll may arrive
 * @param initialImmediateTimeoutMillis the timeout of an immediate call without a preceding failure
 * @param firstListTimeoutMillis how long after the start the sidecar waits for a first list from discovery before it
 *     uses the list of the configuration. A slow discovery and one that is down look the same; after 6 s the sidecar is
 *     expected to know whatever a discovery that could be reached has. The rest of the 10 s within which a restarted
 *     sidecar has to be ready is left to the start of the process.
 */
public record WatchTimeouts(
        long longPollWaitMillis,
        long longPollMarginMillis,
        long initialImmediateTimeoutMillis,
        long firstListTimeoutMillis) {
    /** The timeouts in production. */
    public static final WatchTimeouts DEFAULT = new WatchTimeouts(2_000, 500, 250, 6_000);

    private static final int MAX_DOUBLINGS = 2;

    long longPollTimeoutMillis() {
        return longPollWaitMillis + longPollMarginMillis;
    }

    long immediateTimeoutMillis(int consecutiveFailures) {
        return initialImmediateTimeoutMillis << Math.min(consecutiveFailures, MAX_DOUBLINGS);
    }
}
