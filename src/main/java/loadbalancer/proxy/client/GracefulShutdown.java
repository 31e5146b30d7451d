package loadbalancer.proxy.client;

import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.eventloop.FaultIsolation;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import loadbalancer.proxy.observability.SidecarLog;

/**
 * The graceful shutdown of the client side. In the serving phase, connections are still accepted and requests are still
 * served, because clients connect and send requests as before. In the draining phase, connections and the listener are
 * closed as they become idle. Confined to the event loop.
 */
final class GracefulShutdown {
    /**
     * Duration of the serving phase. Clients may still connect for up to 400 ms after the shutdown is requested; the
     * other 200 ms are a safety margin.
     */
    private static final long SERVING_PHASE_MICROS = 600_000;
    /**
     * How long a connection or the listener has to be idle before it is closed. Before that, a request or a new
     * connection may still be on its way to the sidecar.
     */
    private static final long MIN_IDLE_MICROS = 150_000;

    private static final long CHECK_INTERVAL_MILLIS = 20;
    /**
     * The listener is closed this long after the serving phase even if it is not idle, because clients that still
     * connect then do not know of the shutdown.
     */
    private static final long MAX_LISTENING_AFTER_SERVING_MICROS = 1_000_000;
    /**
     * The time from the request for a shutdown until the last response must be written is this time plus the longest
     * deadline of a request class, of which at most {@link #MAX_COUNTED_DEADLINE_MICROS} counts. The process is killed
     * 100 ms later, that is, after 700 ms plus the deadline; the 100 ms let the last response reach its client.
     */
    private static final long BASE_RESPONSE_TIME_MICROS = 600_000;

    private static final long MAX_COUNTED_DEADLINE_MICROS = 3_000_000;

    private enum Phase {
        NOT_REQUESTED,
        /** Connections are accepted and requests are served; each response closes its connection. */
        SERVING,
        /** Idle connections are closed; the listener is closed once no new connections arrive. */
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

    /**
     * Returns the time by which the last response has to be written, in microseconds of the event loop's clock;
     * {@link Long#MAX_VALUE} if no shutdown is requested.
     */
    long latestResponseMicros() {
        return latestResponseMicros;
    }

    /** Starts the shutdown; {@code onCompleted} runs once the listener and all connections are closed. */
    void start(Runnable onCompleted) {
        long nowMicros = eventLoop.clock().nowMicros();
        phase = Phase.SERVING;
        servingUntilMicros = nowMicros + SERVING_PHASE_MICROS;
        latestResponseMicros = nowMicros
                + BASE_RESPONSE_TIME_MICROS
                + Math.min(MAX_COUNTED_DEADLINE_MICROS, requestClasses.longestDeadlineMicros());
        SidecarLog.info("shutdown_started client_connections=" + connections.size());
        checkRepeatedly(onCompleted);
    }

    /**
     * Repeats the check until the shutdown is completed. The next check is scheduled even if one throws an exception;
     * otherwise the process would never exit.
     */
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

    /**
     * After the serving phase, closes the listener and the connections as they become idle, and completes the shutdown
     * when all of them are closed.
     */
    private void check() {
        long nowMicros = eventLoop.clock().nowMicros();
        if (nowMicros < servingUntilMicros) {
            return;
        }
        phase = Phase.DRAINING;
        closeListenerIfIdleOrOverdue(nowMicros);
        connections.closeInactive(nowMicros - MIN_IDLE_MICROS, nowMicros - requestClasses.longestDeadlineMicros());
        if (connections.isEmpty() && !listener.isOpen()) {
            phase = Phase.COMPLETED;
        }
    }

    /**
     * Closes the listener if it is idle or has been open for too long after the serving phase. Closing it resets the
     * connections in its backlog. Therefore the backlog has to be empty, which is known only while connections are
     * being accepted.
     */
    private void closeListenerIfIdleOrOverdue(long nowMicros) {
        long idleMicros = listener.idleMicros(nowMicros);
        boolean overdue = nowMicros >= servingUntilMicros + MAX_LISTENING_AFTER_SERVING_MICROS;
        if (listener.isOpen() && listener.isAccepting() && (idleMicros >= MIN_IDLE_MICROS || overdue)) {
            listener.close();
            SidecarLog.info("listener_closed client_connections=" + connections.size());
        }
    }
}
