package loadbalancer.proxy.discovery;

/**
 * Decides whether the known endpoint list is current enough to be used. The list of the configuration may be out of
 * date, and the sidecar counts as notified of whatever discovery has from its start on, however slowly discovery
 * answers. Therefore that list is used only once discovery has confirmed it by sending a list, a delta without changes
 * included, or once the sidecar has waited for that for the maximum time. A call that fails or times out confirms
 * nothing.
 *
 * <p>A list that is used stays in use while discovery can't be reached. Not thread-safe.
 */
final class EndpointListFreshness {
    private static final long NEVER_MICROS = -1;

    private boolean usable;
    /** When discovery last sent a list that was accepted. */
    private long confirmedMicros = NEVER_MICROS;

    /** Returns whether requests may be sent by the known list. */
    boolean isUsable() {
        return usable;
    }

    /** Records that a list from discovery was accepted. */
    void confirm(long nowMicros) {
        usable = true;
        confirmedMicros = nowMicros;
    }

    /** Records that discovery has sent no list within the maximum time. */
    void waitEnded() {
        usable = true;
    }

    /**
     * Returns where the list comes from and, if that is discovery, how long ago discovery last sent one, as keys and
     * values for the log with a leading space.
     */
    String describe(long nowMicros) {
        return confirmedMicros == NEVER_MICROS
                ? " endpoint_list_source=configuration"
                : " endpoint_list_source=discovery endpoint_list_age_millis=" + (nowMicros - confirmedMicros) / 1_000;
    }
}
