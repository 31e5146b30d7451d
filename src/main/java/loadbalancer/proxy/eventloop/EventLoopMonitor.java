package loadbalancer.proxy.eventloop;

import loadbalancer.proxy.observability.SidecarLog;

/**
 * Reports why the event loop was late: the name and duration of its longest task, and the threads of the process that
 * ran or waited for a processor for the longest time, with both times. To save time, the thread times are read only for
 * a report and when the period that a report covers begins. Confined to the event loop.
 */
public final class EventLoopMonitor {
    /** The event loop is reported as late if its lag exceeds this time. */
    private static final long LATE_THRESHOLD_MICROS = 100_000;
    /** Shortest time between two reports, because a report itself takes time on a loop that is already late. */
    private static final long MIN_REPORT_INTERVAL_MICROS = 1_000_000;

    private static final String NO_TASK_NAME = "none";

    private final MonotonicClock clock;
    /** The thread times at the beginning of the period that the next report covers; null before {@link #start}. */
    private ThreadTimes baseline;

    private long baselineMicros;
    private String longestTaskName = NO_TASK_NAME;
    private long longestTaskMicros;
    private long lastReportMicros;

    public EventLoopMonitor(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Starts reporting. The period that the first report covers begins now. */
    public void start() {
        baseline = ThreadTimes.read();
        baselineMicros = clock.nowMicros();
    }

    /** Lets the period that the next report covers begin now. Must not be called before {@link #start}. */
    public void resetBaseline() {
        baseline = baseline.readAgain();
        baselineMicros = clock.nowMicros();
    }

    /** Records that the task with this name, which began at {@code startMicros}, has finished. */
    public void recordFinishedTask(String taskName, long startMicros) {
        long durationMicros = clock.nowMicros() - startMicros;
        if (durationMicros > longestTaskMicros) {
            longestTaskMicros = durationMicros;
            longestTaskName = taskName;
        }
    }

    /**
     * Checks whether the event loop was late. Also ends the interval over which the longest task is determined, and
     * begins the next interval.
     *
     * @param lagMicros how late the periodic task that calls this method was run
     * @return a line for the log, or null if the loop was not late, the last report was less than a second ago, or
     *     reporting has not started
     */
    public String checkLag(long lagMicros) {
        String line = null;
        if (baseline != null
                && lagMicros > LATE_THRESHOLD_MICROS
                && clock.nowMicros() - lastReportMicros > MIN_REPORT_INTERVAL_MICROS) {
            line = report(lagMicros);
        }
        longestTaskName = NO_TASK_NAME;
        longestTaskMicros = 0;
        return line;
    }

    private String report(long lagMicros) {
        lastReportMicros = clock.nowMicros();
        ThreadTimes current = baseline.readAgain();
        String line = "event_loop_late lag_millis=" + lagMicros / 1000 + " longest_task="
                + SidecarLog.quote(longestTaskName) + " longest_task_millis=" + longestTaskMicros / 1000
                + " window_millis=" + (lastReportMicros - baselineMicros) / 1000 + current.describeSince(baseline);
        baseline = current;
        baselineMicros = lastReportMicros;
        return line;
    }
}
