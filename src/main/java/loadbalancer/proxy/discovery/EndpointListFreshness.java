package loadbalancer.proxy.discovery;

/**
 * Tracks where the endpoint list in use comes from and when discovery last confirmed it. The list of the configuration
 * may be out of date; only a list that discovery has sent in this process, a delta without changes included, confirms
 * what is known. A call that fails or times out confirms nothing. Not thread-safe.
 */
final class EndpointListFreshness {
    private static final long NEVER_MICROS = -1;

    /** When discovery last sent a list that was accepted. */
    private long confirmedMicros = NEVER_MICROS;

    /** Records that a list from discovery was accepted. */
    void confirm(long nowMicros) {
        confirmedMicros = nowMicros;
    }

    private boolean isConfirmed() {
        return confirmedMicros != NEVER_MICROS;
    }

    /**
     * Returns where the list comes from and, if that is discovery, how long ago discovery last sent one, as keys and
     * values for the log with a leading space.
     */
    String describe(long nowMicros) {
        return isConfirmed()
                ? " endpoint_list_source=discovery endpoint_list_age_millis=" + (nowMicros - confirmedMicros) / 1_000
                : " endpoint_list_source=configuration";
    }
}
