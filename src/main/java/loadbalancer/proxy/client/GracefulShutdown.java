package loadbalancer.proxy.client;

import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.eventloop.FaultBarrier;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import loadbalancer.proxy.observability.SidecarLog;

/**
 * The end of the client side in good order: first everything is served as before, because clients still connect and
 * send; then connections and the listener close as they become idle. Confined to the event loop.
 */
final class GracefulShutdown {
    /** Clients go on connecting for up to 400 ms after the request to shut down; with a reserve. */
    private static final long SERVING_MICROS = 600_000;
    /** A connection that was active, or a listener that accepted, this recently may have a request on its way. */
    private static final long MIN_IDLE_MICROS = 150_000;

    private static final long CHECK_INTERVAL_MILLIS = 20;
    /** Clients that still connect so long after the serving phase do not know of the shutdown. */
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
        /** Idle connections close; the listener closes once nobody connects any more. */
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

    /** Goes on even if a check fails: otherwise the process would never end. */
    private void checkRepeatedly(Runnable onCompleted) {
        FaultBarrier.run("shutdown_check", this::check);
        if (phase == Phase.COMPLETED) {
            SidecarLog.info("shutdown_completed client_connections=0");
            onCompleted.run();
        } else {
            eventLoop
                    .eventLoop()
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

    /** A close resets the connections in the backlog: it has to be empty, which shows only while accepting. */
    private void closeListenerIfIdle(long nowMicros) {
        long idleMicros = listener.idleMicros(nowMicros);
        boolean unaware = nowMicros >= servingUntilMicros + MAX_LISTENING_MICROS;
        if (listener.isOpen() && listener.isAccepting() && (idleMicros >= MIN_IDLE_MICROS || unaware)) {
            listener.close();
            SidecarLog.info("listener_closed client_connections=" + connections.size());
        }
    }
}
