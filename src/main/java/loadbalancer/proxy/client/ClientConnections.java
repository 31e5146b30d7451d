package loadbalancer.proxy.client;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.proxy.client.ConnectionCloseLog.Reason;

/**
 * The open connections of clients. Selects the connection to close when the maximum number is reached. Confined to the
 * event loop.
 */
final class ClientConnections {
    /** How long a connection has to be idle before it is evicted. Before that, a request may still be on its way. */
    private static final long MIN_IDLE_BEFORE_EVICTION_MICROS = 50_000;

    private final ConnectionLimits limits;
    private final Set<ClientConnection> connections = new HashSet<>();
    private int idleConnections;

    ClientConnections(ConnectionLimits limits) {
        this.limits = limits;
    }

    void add(ClientConnection connection) {
        connections.add(connection);
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

    boolean isFull() {
        return connections.size() >= limits.maxConnections();
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
     * Closes one connection that is between requests if the maximum number of connections is reached. Selects the one
     * with the earliest last activity, but a connection that has never sent a request before any other.
     */
    void evictIdleConnectionIfFull(long nowMicros) {
        if (isFull()) {
            connections.stream()
                    .filter(connection -> connection.idleMicros(nowMicros) > MIN_IDLE_BEFORE_EVICTION_MICROS)
                    .min(Comparator.comparing(ClientConnection::hasReceivedRequest)
                            .thenComparing(ClientConnection::lastActivityMicros))
                    .ifPresent(connection -> connection.close(Reason.EVICTED));
        }
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
