package loadbalancer.proxy.lifecycle;

import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.client.RequestDispatcher;
import loadbalancer.proxy.client.SidecarHttpServer;
import loadbalancer.proxy.discovery.DiscoveryWatch;
import loadbalancer.proxy.eventloop.EventLoopMonitor;
import loadbalancer.proxy.eventloop.FaultIsolation;
import loadbalancer.proxy.eventloop.MonotonicClock;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import loadbalancer.proxy.memory.DirectMemory;
import loadbalancer.proxy.memory.MessageMemory;
import loadbalancer.proxy.observability.LogRateLimit;
import loadbalancer.proxy.observability.SidecarLog;
import loadbalancer.proxy.observability.TrafficStatistics;
import loadbalancer.proxy.upstream.UpstreamConnectionPool;

/**
 * Runs on the event loop every 100 ms: measures how late the loop is and closes client connections that have timed out.
 * Also logs the traffic totals every 5 s. Confined to the event loop.
 */
final class MaintenanceTask {
    private static final long INTERVAL_MILLIS = 100;
    /** The totals are logged every 5 s, often enough to see when a problem began and ended. */
    private static final int RUNS_PER_TOTALS_LINE = 50;

    /** The components that the task checks and whose totals it logs. */
    record Components(
            SidecarHttpServer httpServer,
            RequestDispatcher dispatcher,
            UpstreamConnectionPool upstreamPool,
            DiscoveryWatch discovery) {}

    private final ReadTrackingEventLoop eventLoop;
    private final MonotonicClock clock;
    private final EventLoopMonitor monitor;
    private final TrafficStatistics statistics;
    private final MessageMemory messageMemory;
    private final Components components;
    private final LogRateLimit memoryNearLimitLog = new LogRateLimit(1);
    private long previousRunMicros;
    private long runs;

    MaintenanceTask(
            ReadTrackingEventLoop eventLoop,
            EventLoopMonitor monitor,
            TrafficStatistics statistics,
            MessageMemory messageMemory,
            Components components) {
        this.eventLoop = eventLoop;
        clock = eventLoop.clock();
        this.monitor = monitor;
        this.statistics = statistics;
        this.messageMemory = messageMemory;
        this.components = components;
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
        components.httpServer().closeTimedOutConnections();
        monitor.recordFinishedTask("stalled_connection_sweep", nowMicros);
        logMemoryNearLimit(nowMicros);
        if (++runs % RUNS_PER_TOTALS_LINE == 0) {
            logTotals();
        }
        previousRunMicros = nowMicros;
    }

    private void recordLag(long lagMicros) {
        statistics.recordEventLoopLag(lagMicros);
        eventLoop.recordLag(lagMicros);
        String lateLoopReport = monitor.checkLag(lagMicros);
        if (lateLoopReport != null) {
            SidecarLog.info(lateLoopReport);
        }
    }

    private void logMemoryNearLimit(long nowMicros) {
        if (DirectMemory.isNearLimit() && memoryNearLimitLog.allowsLine(nowMicros)) {
            SidecarLog.info("direct_memory_near_limit" + DirectMemory.describe() + messageMemory.describe()
                    + memoryNearLimitLog.suppressedLines());
        }
    }

    private void logTotals() {
        long startMicros = clock.nowMicros();
        String totals = statistics.summarizeAndReset(
                components.dispatcher().openRequestCount(),
                components.httpServer().openConnectionCount(),
                components.upstreamPool().openConnectionCount());
        if (totals != null) {
            SidecarLog.info(totals
                    + components.discovery().describeList()
                    + components.httpServer().summarizeConnectionsAndReset()
                    + eventLoop.summarizeReadsAndReset()
                    + messageMemory.summarizeAndReset()
                    + DirectMemory.describe());
            monitor.resetBaseline();
        }
        monitor.recordFinishedTask("totals", startMicros);
    }
}
