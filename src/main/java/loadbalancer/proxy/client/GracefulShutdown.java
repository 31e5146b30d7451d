package loadbalancer.proxy.client;

import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.eventloop.FaultIsolation;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import loadbalancer.proxy.observability.SidecarLog;

/**
 * The graceful shutdown of the client side. In the first phase everything is served as before, because clients still
 * connect and send requests; in the second, connections and the listener are closed as they become idle. Confined to
 * the event loop.
 */
final class GracefulShutdown {
    /** Clients may still connect for up to 400 ms after the request to shut down; the rest is a reserve. */
    private static final long SERVING_MICROS = 600_000;
    /** A connection that was active, or a listener that accepted, this recently may have a request on its way. */
    private static final long MIN_IDLE_MICROS = 150_000;

    private static final long CHECK_INTERVAL_MILLIS = 20;
    /**
     * The listener closes this long after the serving phase at the latest: clients that still connect then do not know
     * of the shutdown.
     */
    private static final long MAX_LISTENING_MICROS = 1_000_000;
    /**
     * The process is killed 700 ms plus the longest deadline, of which at most {@link #MAX_KILL_DEADLINE_MICROS} count,
     * after the request to shut down. Responses are due 100 ms earlier, for their way to the client.
     */
    private static final long RESPONSE_TIME_MICROS = 600_000;

    private static final long MAX_KILL_DEADLINE_MICROS = 3_000_000;

    private enum Phase {
        NOT_REQUESTED,
        /** Connections are accepted and requests served; every response closes its connection. */
        SERVING,
        /** Idle connections are closed; the listener is closed once no new connections come. */
        DRAINING,
        COMPLETED
    }

    private final ReadTrackingEventLoop eventLoop;
    private final ClientListener listener;
    private final ClientConnections connections;
    private final RequestClasses requestClasses;
    private Phase phase = Phase.NOT_REQUESTED;
    private long servingUntilMicros;
    private long latestResponseMicros = Long.MAX_VALUE;

    GracefulShutdown(
            ReadTrackingEventLoop eventLoop,
            ClientListener listener,
            ClientConnections connections,
            RequestClasses requestClasses) {
        this.eventLoop = eventLoop;
        this.listener = listener;
        this.connections = connections;
        this.requestClasses = requestClasses;
    }

    boolean isRequested() {
        return phase != Phase.NOT_REQUESTED;
    }

    /** When the last response has to be written, in microseconds; {@link Long#MAX_VALUE} without a shutdown. */
    long latestResponseMicros() {
        return latestResponseMicros;
    }

    /** Starts the shutdown; {@code onCompleted} runs once the listener and all connections are closed. */
    void start(Runnable onCompleted) {
        long nowMicros = eventLoop.clock().nowMicros();
        phase = Phase.SERVING;
        servingUntilMicros = nowMicros + SERVING_MICROS;
        latestResponseMicros = nowMicros
                + RESPONSE_TIME_MICROS
                + Math.min(MAX_KILL_DEADLINE_MICROS, requestClasses.longestDeadlineMicros());
        SidecarLog.info("shutdown_started client_connections=" + connections.size());
        checkRepeatedly(onCompleted);
    }

    /** Schedules the next check even if one fails; otherwise the process would never end. */
    private void checkRepeatedly(Runnable onCompleted) {
        FaultIsolation.run("shutdown_check", this::check);
        if (phase == Phase.COMPLETED) {
            SidecarLog.info("shutdown_completed client_connections=0");
            onCompleted.run();
        } else {
            eventLoop
                    .nettyEventLoop()
                    .schedule(() -> checkRepeatedly(onCompleted), CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void check() {
        long nowMicros = eventLoop.clock().nowMicros();
        if (nowMicros < servingUntilMicros) {
            return;
        }
        phase = Phase.DRAINING;
        closeListenerIfIdle(nowMicros);
        connections.closeInactive(nowMicros - MIN_IDLE_MICROS, nowMicros - requestClasses.longestDeadlineMicros());
        if (connections.isEmpty() && !listener.isOpen()) {
            phase = Phase.COMPLETED;
        }
    }

    /**
     * Closing the listener resets the connections in its backlog. So the backlog has to be empty, which is known only
     * while connections are being accepted.
     */
    private void closeListenerIfIdle(long nowMicros) {
        long idleMicros = listener.idleMicros(nowMicros);
        boolean unaware = nowMicros >= servingUntilMicros + MAX_LISTENING_MICROS;
        if (listener.isOpen() && listener.isAccepting() && (idleMicros >= MIN_IDLE_MICROS || unaware)) {
            listener.close();
            SidecarLog.info("listener_closed client_connections=" + connections.size());
        }
    }
}
