package loadbalancer.proxy.eventloop;

import loadbalancer.proxy.observability.SidecarLog;

/**
 * Collects what explains why the event loop was late: its longest task, and for each thread of the process how long it
 * ran and how long it waited for a processor. Thread times are read only when there is something to report. Confined to
 * the event loop.
 */
public final class EventLoopMonitor {
    /** A greater lag is reported. */
    private static final long LATE_MICROS = 100_000;
    /** At most one report in this time, because a report itself takes time on a loop that is already late. */
    private static final long MIN_REPORT_INTERVAL_MICROS = 1_000_000;

    private static final String NO_TASK = "none";

    private final MonotonicClock clock;
    /** The thread times that the next report is compared with; null before {@link #start}. */
    private ThreadTimes baseline;

    private long baselineMicros;
    private String longestTask = NO_TASK;
    private long longestTaskMicros;
    private long lastReportMicros;

    public EventLoopMonitor(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Starts reporting. The first report covers the thread times from now on. */
    public void start() {
        baseline = ThreadTimes.read();
        baselineMicros = clock.nowMicros();
    }

    /** Makes the next report cover the thread times from now on. Must not be called before {@link #start}. */
    public void resetBaseline() {
        baseline = baseline.readAgain();
        baselineMicros = clock.nowMicros();
    }

    /** Records that a task, which began at {@code startMicros}, has finished. */
    public void taskFinished(String task, long startMicros) {
        long durationMicros = clock.nowMicros() - startMicros;
        if (durationMicros > longestTaskMicros) {
            longestTaskMicros = durationMicros;
            longestTask = task;
        }
    }

    /**
     * Ends the interval in which the longest task is determined, and begins the next one.
     *
     * @param lagMicros how late the calling periodic task was
     * @return a line for the log; null if the loop was not late, or the last report was less than a second ago
     */
    public String checkLag(long lagMicros) {
        String line = null;
        if (baseline != null
                && lagMicros > LATE_MICROS
                && clock.nowMicros() - lastReportMicros > MIN_REPORT_INTERVAL_MICROS) {
            line = report(lagMicros);
        }
        longestTask = NO_TASK;
        longestTaskMicros = 0;
        return line;
    }

    private String report(long lagMicros) {
        lastReportMicros = clock.nowMicros();
        ThreadTimes current = baseline.readAgain();
        String line = "event_loop_late lag_millis=" + lagMicros / 1000 + " longest_task="
                + SidecarLog.quote(longestTask) + " longest_task_millis=" + longestTaskMicros / 1000
                + " window_millis=" + (lastReportMicros - baselineMicros) / 1000 + current.describeSince(baseline);
        baseline = current;
        baselineMicros = lastReportMicros;
        return line;
    }
}
