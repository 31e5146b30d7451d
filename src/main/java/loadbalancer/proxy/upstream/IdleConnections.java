package loadbalancer.proxy.upstream;

import java.util.ArrayDeque;
import java.util.Iterator;

/** The idle connections to one endpoint, the most recently used first. Owned by the event loop of the pool. */
final class IdleConnections {
    private final ArrayDeque<UpstreamConnection> connections = new ArrayDeque<>();

    /** Adds the connection that was used last. */
    void add(UpstreamConnection connection) {
        connections.addFirst(connection);
    }

    boolean isEmpty() {
        return connections.isEmpty();
    }

    /**
     * Takes the most recently used connection whose reuse delay is over, so that the others grow old enough to be
     * closed; null where there is none. Unusable ones that come before it are closed.
     *
     * @param lastReadMicros when the last reading of all sockets began
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

    /** Since when the connection that was used least recently is idle; there must be one. */
    long oldestIdleSinceMicros() {
        return connections.peekLast().idleSinceMicros();
    }

    /** Closes the connection that was used least recently; there must be one. */
    void closeOldest() {
        connections.pollLast().close();
    }
}
