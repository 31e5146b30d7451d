package loadbalancer.proxy.client;

import java.util.Comparator;

/**
 * A connection that may be closed to make room for another one. All times are in microseconds up to the last read of
 * all sockets, so that bytes that the event loop has not read yet do not count against a client.
 *
 * @param group which connections are closed first
 * @param micros how long the connection has been silent; in the group {@link Group#SLOW}, how long its request has been
 *     incomplete
 */
record EvictionCandidate(ClientConnection connection, Group group, long micros) {
    /** Kinds of connections, those that are closed first before the others. */
    enum Group {
        /** It has never sent a request and no part of one. */
        UNUSED,
        /** It is silent between two requests, or within one. */
        SILENT,
        /** Its request still arrives, but slowly. */
        SLOW
    }

    /** How long a connection has to be silent. Before that, more of a request may still be on its way. */
    private static final long MIN_SILENT_MICROS = 50_000;
    /** How long a request has to be incomplete while it still arrives. Ordinary ones take less. */
    private static final long MIN_RECEIVING_MICROS = 250_000;

    /** Orders the candidates, the one to close first before the others. */
    static final Comparator<EvictionCandidate> WORST_FIRST = Comparator.comparing(EvictionCandidate::group)
            .thenComparing(EvictionCandidate::micros, Comparator.reverseOrder());

    /**
     * Returns the candidate, or null if the connection must not be closed.
     *
     * @param used whether the connection has sent a request or a part of one
     * @param silentMicros how long no byte has arrived and no response was written
     * @param receivingMicros for how long an incomplete request has been received; 0 if there is none
     */
    static EvictionCandidate of(ClientConnection connection, boolean used, long silentMicros, long receivingMicros) {
        if (silentMicros > MIN_SILENT_MICROS) {
            return new EvictionCandidate(connection, used ? Group.SILENT : Group.UNUSED, silentMicros);
        }
        return receivingMicros > MIN_RECEIVING_MICROS
                ? new EvictionCandidate(connection, Group.SLOW, receivingMicros)
                : null;
    }
}
