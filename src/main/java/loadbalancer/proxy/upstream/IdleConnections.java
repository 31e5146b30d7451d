package loadbalancer.proxy.upstream;

import java.util.ArrayDeque;
import java.util.Iterator;

/** The idle connections to one endpoint, most recently used first. Confined to the event loop of the pool. */
final class IdleConnections {
    private final ArrayDeque<UpstreamConnection> connections = new ArrayDeque<>();

    /** Adds a connection, which must have been used more recently than the others. */
    void add(UpstreamConnection connection) {
        connections.addFirst(connection);
    }

    boolean isEmpty() {
        return connections.isEmpty();
    }

    /**
     * Removes and returns the most recently used connection whose reuse delay is over, or returns null if there is
     * none. Because recently used connections are preferred, surplus connections reach the idle timeout. The search
     * closes unusable connections that it finds.
     *
     * @param lastReadMicros when the event loop last began to read all sockets
     */
    UpstreamConnection take(long nowMicros, long lastReadMicros, long idleTimeoutMicros) {
        for (Iterator<UpstreamConnection> iterator = connections.iterator(); iterator.hasNext(); ) {
            UpstreamConnection connection = iterator.next();
            boolean usable = connection.isUsable(nowMicros, idleTimeoutMicros);
            if (usable && !connection.isReuseDelayOver(lastReadMicros)) {
                continue;
            }
            iterator.remove();
            if (usable) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    /** Closes the connections that are broken or have been idle for too long. */
    void closeUnusable(long nowMicros, long idleTimeoutMicros) {
        connections.removeIf(connection -> {
            boolean unusable = !connection.isUsable(nowMicros, idleTimeoutMicros);
            if (unusable) {
                connection.close();
            }
            return unusable;
        });
    }

    void closeAll() {
        for (UpstreamConnection connection; (connection = connections.poll()) != null; ) {
            connection.close();
        }
    }

    /** Returns when the least recently used connection became idle. Must not be called if there is no connection. */
    long oldestIdleSinceMicros() {
        return connections.peekLast().idleSinceMicros();
    }

    /** Closes the least recently used connection. Must not be called if there is no connection. */
    void closeOldest() {
        connections.pollLast().close();
    }
}
