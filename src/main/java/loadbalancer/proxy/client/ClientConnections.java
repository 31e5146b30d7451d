package loadbalancer.proxy.client;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import loadbalancer.proxy.client.ConnectionCloseLog.Reason;

/**
 * The open connections of clients. Selects the connection to close when the maximum number is reached. Confined to the
 * event loop.
 */
final class ClientConnections {
    /** How long a connection has to be idle before it is evicted. Before that, a request may still be on its way. */
    private static final long MIN_IDLE_BEFORE_EVICTION_MICROS = 50_000;
    /** How long a request has to be incomplete before it is rejected for another client. Ordinary ones take less. */
    private static final long MIN_RECEIVING_BEFORE_EVICTION_MICROS = 250_000;

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
     * Closes one connection if the maximum number of connections is reached: one that is between requests or, if there
     * is none, one whose request has been incomplete for the longest time. Without the latter, clients that stop within
     * a request would keep out all others until their requests time out.
     */
    void evictIfFull(long nowMicros) {
        if (isFull() && !evictIdle(nowMicros)) {
            connections.stream()
                    .filter(connection -> connection.receivingMicros(nowMicros) > MIN_RECEIVING_BEFORE_EVICTION_MICROS)
                    .max(Comparator.comparingLong(connection -> connection.receivingMicros(nowMicros)))
                    .ifPresent(this::evictIncomplete);
        }
    }

    /**
     * Closes the idle connection with the earliest last activity, but one that has never sent a request before any
     * other. Returns false if there is none.
     */
    private boolean evictIdle(long nowMicros) {
        Optional<ClientConnection> idle = connections.stream()
                .filter(connection -> connection.idleMicros(nowMicros) > MIN_IDLE_BEFORE_EVICTION_MICROS)
                .min(Comparator.comparing(ClientConnection::hasReceivedRequest)
                        .thenComparing(ClientConnection::lastActivityMicros));
        idle.ifPresent(connection -> connection.close(Reason.EVICTED));
        evictedConnections += idle.isPresent() ? 1 : 0;
        return idle.isPresent();
    }

    private void evictIncomplete(ClientConnection connection) {
        connection.rejectIncompleteRequest();
        evictedConnections++;
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
