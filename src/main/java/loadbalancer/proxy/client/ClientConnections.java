package loadbalancer.proxy.client;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The open connections of clients, and which of them to close for want of room. Confined to the event loop. */
final class ClientConnections {
    /** A connection's first request may still be on its way for so long after the connection is accepted. */
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

    /** A connection is kept open between two requests from now on. */
    void idleConnectionAdded() {
        idleConnections++;
    }

    void idleConnectionRemoved() {
        idleConnections--;
    }

    /** Clients that do not reuse what is kept open for them would otherwise use up all connections. */
    boolean mayKeepIdleConnection() {
        return idleConnections < limits.maxIdleConnections();
    }

    /**
     * Where there is no room left, closes one idle connection: first one without any request so far, then the oldest.
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
        // Of a copy: a close removes its connection from the set.
        List.copyOf(connections).forEach(connection -> connection.closeIfStalled(nowMicros));
    }

    /**
     * Closes the connections that were last active before these times; see {@link ClientConnection#closeIfInactive}.
     */
    void closeInactive(long idleSinceMicros, long receivingSinceMicros) {
        List.copyOf(connections)
                .forEach(connection -> connection.closeIfInactive(idleSinceMicros, receivingSinceMicros));
    }
}
