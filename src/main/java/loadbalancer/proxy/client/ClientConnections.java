package loadbalancer.proxy.client;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The open connections of clients. Selects which one to close when the limit is reached. Confined to the event loop.
 */
final class ClientConnections {
    /** A connection that was active more recently than this may have a request on its way, and is not evicted. */
    private static final long EVICTION_GRACE_MICROS = 50_000;

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

    /** Counts a connection that is now kept open between two requests. */
    void idleConnectionAdded() {
        idleConnections++;
    }

    void idleConnectionRemoved() {
        idleConnections--;
    }

    /**
     * Whether one more idle connection may be kept open. Without this limit, clients that never reuse their connections
     * would occupy all of them.
     */
    boolean mayKeepIdleConnection() {
        return idleConnections < limits.maxIdleConnections();
    }

    /**
     * If the limit is reached, closes one idle connection: preferably one that has never sent a request, otherwise the
     * one that was last active longest ago.
     */
    void evictIdleConnectionIfFull(long nowMicros) {
        if (isFull()) {
            connections.stream()
                    .filter(connection -> connection.idleMicros(nowMicros) > EVICTION_GRACE_MICROS)
                    .min(Comparator.comparing(ClientConnection::hasReceivedRequest)
                            .thenComparing(ClientConnection::lastActivityMicros))
                    .ifPresent(ClientConnection::close);
        }
    }

    void closeStalled(long nowMicros) {
        // Iterates over a copy, because closing a connection removes it from the set.
        List.copyOf(connections).forEach(connection -> connection.closeIfStalled(nowMicros));
    }

    /** Calls {@link ClientConnection#closeIfInactive} on every connection. */
    void closeInactive(long idleSinceMicros, long receivingSinceMicros) {
        List.copyOf(connections)
                .forEach(connection -> connection.closeIfInactive(idleSinceMicros, receivingSinceMicros));
    }
}
