package loadbalancer.proxy.eventloop;

import loadbalancer.proxy.observability.SidecarLog;

/**
 * Explains in the log why the event loop was late: by its longest task, and by what each thread of the process ran and
 * how long it waited for a processor. The threads are read only when a line is due. Used on the event loop only.
 */
public final class EventLoopMonitor {
    private static final long LATE_MICROS = 100_000;
    /** Lines cost time themselves: a loop that is late for long gets no more than this. */
    private static final long MIN_REPORT_INTERVAL_MICROS = 1_000_000;

    private static final String NO_TASK = "none";

    private final MonotonicClock clock;
    /** Null before {@link #start}. */
    private ThreadTimes baseline;

    private long baselineMicros;
    private String longestTask = NO_TASK;
    private long longestTaskMicros;
    private long lastReportMicros;

    public EventLoopMonitor(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Allows reports, which count the threads' times from now on. */
    public void start() {
        baseline = ThreadTimes.read();
        baselineMicros = clock.nowMicros();
    }

    /** Counts the threads' times from now on. */
    public void resetBaseline() {
        baseline = baseline.readAgain();
        baselineMicros = clock.nowMicros();
    }

    /** A task on the event loop is finished that began at {@code startMicros}. */
    public void taskFinished(String task, long startMicros) {
        long durationMicros = clock.nowMicros() - startMicros;
        if (durationMicros > longestTaskMicros) {
            longestTaskMicros = durationMicros;
            longestTask = task;
        }
    }

    /**
     * Ends an interval in which the longest task is looked for.
     *
     * @param lagMicros how late the periodic task was that calls this
     * @return a line for the log; null where the loop was in time or was reported just before
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
