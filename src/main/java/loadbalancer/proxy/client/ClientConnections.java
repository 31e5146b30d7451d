package loadbalancer.proxy.client;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The open connections of clients. Selects the connection to close when the maximum number is reached. Confined to the
 * event loop.
 */
final class ClientConnections {
    private final ConnectionLimits limits;
    private final Set<ClientConnection> connections = new HashSet<>();
    private int idleConnections;
    private int evictedConnections;
    private int maxConnections;

    ClientConnections(ConnectionLimits limits) {
        this.limits = limits;
    }

    void add(ClientConnection connection) {
        connections.add(connection);
        maxConnections = Math.max(maxConnections, connections.size());
    }

    void remove(ClientConnection connection) {
        connections.remove(connection);
    }

    int size() {
        return connections.size();
    }

    boolean isEmpty() {
        return connections.isEmpty();
    }

    /**
     * Counts one more connection as kept open between two requests. A connection that has not sent any request yet is
     * not counted.
     */
    void idleConnectionAdded() {
        idleConnections++;
    }

    void idleConnectionRemoved() {
        idleConnections--;
    }

    /**
     * Returns whether one more idle connection may be kept open. Without this limit, clients that never reuse their
     * connections would use up all available connections.
     */
    boolean mayKeepIdleConnection() {
        return idleConnections < limits.maxIdleConnections();
    }

    /**
     * Closes connections until there is room for another one, those first that use their descriptor the least; see
     * {@link EvictionCandidate}. Stops if no further one may be closed.
     *
     * @param readMicros when the last read of all sockets began
     */
    void evictUntilOneIsFree(long readMicros) {
        while (noneIsFree() && evictOne(readMicros)) {
            evictedConnections++;
        }
    }

    private boolean noneIsFree() {
        return connections.size() >= limits.maxConnections()
                || limits.freeDescriptors().getAsInt() < 0;
    }

    private boolean evictOne(long readMicros) {
        Optional<EvictionCandidate> worst = candidates(readMicros).min(EvictionCandidate.WORST_FIRST);
        worst.ifPresent(candidate -> candidate.connection().evict());
        return worst.isPresent();
    }

    private Stream<EvictionCandidate> candidates(long readMicros) {
        return connections.stream()
                .map(connection -> connection.evictionCandidate(readMicros))
                .filter(Objects::nonNull);
    }

    /**
     * Returns whether one more connection may be accepted, because a descriptor is free or will be after an eviction.
     * May close an idle upstream connection to free a descriptor.
     *
     * @param readMicros when the last read of all sockets began
     */
    boolean canAdmit(long readMicros) {
        boolean belowMaximum = connections.size() < limits.maxConnections();
        return belowMaximum && limits.descriptorAvailable().getAsBoolean()
                || candidates(readMicros).findAny().isPresent();
    }

    /**
     * Returns how many connections may be accepted at once, before any is evicted; at least 1. Meanwhile each of them
     * and each one to be evicted has a descriptor.
     *
     * @param readMicros when the last read of all sockets began
     */
    int admissibleAtOnce(long readMicros) {
        int belowMaximum = limits.maxConnections() - connections.size();
        int admissible =
                belowMaximum > 0 ? belowMaximum : (int) candidates(readMicros).count();
        return Math.max(1, Math.min(admissible, limits.freeDescriptors().getAsInt()));
    }

    /**
     * Returns the largest number of open connections and the number of evicted ones since the last call, as keys and
     * values for the log with a leading space, and resets them.
     */
    String summarizeAndReset() {
        String line = " client_connections_max=" + maxConnections + " client_connections_evicted=" + evictedConnections;
        maxConnections = connections.size();
        evictedConnections = 0;
        return line;
    }

    void closeTimedOut(long nowMicros) {
        // Iterates over a copy, because closing a connection removes it from the set.
        List.copyOf(connections).forEach(connection -> connection.closeIfTimedOut(nowMicros));
    }

    /** Calls {@link ClientConnection#closeIfInactive} on every connection. */
    void closeInactive(long idleCutoffMicros, long receivingCutoffMicros) {
        List.copyOf(connections)
                .forEach(connection -> connection.closeIfInactive(idleCutoffMicros, receivingCutoffMicros));
    }
}
