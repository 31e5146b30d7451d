package loadbalancer.proxy.lifecycle;

import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.client.RequestDispatcher;
import loadbalancer.proxy.client.SidecarHttpServer;
import loadbalancer.proxy.eventloop.EventLoopMonitor;
import loadbalancer.proxy.eventloop.FaultIsolation;
import loadbalancer.proxy.eventloop.MonotonicClock;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import loadbalancer.proxy.observability.SidecarLog;
import loadbalancer.proxy.observability.TrafficStatistics;
import loadbalancer.proxy.upstream.UpstreamConnectionPool;

/**
 * The periodic work on the event loop, every 100 ms: measures how late the loop is, closes stalled connections of
 * clients, and every 5 s logs the totals. Confined to the event loop.
 */
final class MaintenanceTask {
    private static final long INTERVAL_MILLIS = 100;
    /** Totals are logged every 5 s, often enough to see when a problem began and ended. */
    private static final int RUNS_PER_TOTALS = 50;

    private final ReadTrackingEventLoop eventLoop;
    private final MonotonicClock clock;
    private final EventLoopMonitor monitor;
    private final TrafficStatistics statistics;
    private final SidecarHttpServer clients;
    private final RequestDispatcher requests;
    private final UpstreamConnectionPool upstreams;
    private long previousRunMicros;
    private long runs;

    MaintenanceTask(
            ReadTrackingEventLoop eventLoop,
            EventLoopMonitor monitor,
            TrafficStatistics statistics,
            SidecarHttpServer clients,
            RequestDispatcher requests,
            UpstreamConnectionPool upstreams) {
        this.eventLoop = eventLoop;
        clock = eventLoop.clock();
        this.monitor = monitor;
        this.statistics = statistics;
        this.clients = clients;
        this.requests = requests;
        this.upstreams = upstreams;
    }

    void start() {
        monitor.start();
        previousRunMicros = clock.nowMicros();
        eventLoop
                .nettyEventLoop()
                .scheduleWithFixedDelay(
                        () -> FaultIsolation.run("maintenance", this::run),
                        INTERVAL_MILLIS,
                        INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void run() {
        long nowMicros = clock.nowMicros();
        recordLag(nowMicros - previousRunMicros - INTERVAL_MILLIS * 1000);
        clients.closeStalledConnections();
        monitor.taskFinished("stalled_connection_sweep", nowMicros);
        if (++runs % RUNS_PER_TOTALS == 0) {
            logTotals();
        }
        previousRunMicros = nowMicros;
    }

    private void recordLag(long lagMicros) {
        statistics.eventLoopLag(lagMicros);
        eventLoop.recordLag(lagMicros);
        String lateLine = monitor.checkLag(lagMicros);
        if (lateLine != null) {
            SidecarLog.info(lateLine);
        }
    }

    private void logTotals() {
        long startMicros = clock.nowMicros();
        String totals = statistics.summarizeAndReset(
                requests.openRequests(), clients.openConnections(), upstreams.openConnections());
        if (totals != null) {
            SidecarLog.info(totals);
            monitor.resetBaseline();
        }
        monitor.taskFinished("totals", startMicros);
    }
}
