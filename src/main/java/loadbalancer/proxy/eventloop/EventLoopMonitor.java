package loadbalancer.proxy.eventloop;

/**
 * Tells why the event loop was late: the longest piece of work on it by its name, and what each thread of the process
 * ran and how long it waited for a processor. The threads are looked at only where a line is due, not with each tick.
 */
public final class EventLoopMonitor {
    private static final long LATE_US = 100_000;
    /** At most one line in this time: a loop that is late for long would be later by its log. */
    private static final long QUIET_US = 1_000_000;

    private final MonotonicClock clock;
    private ThreadTimes before;
    private long beforeUs;
    private String longest = "none";
    private long longestUs;
    private long toldUs;

    public EventLoopMonitor(MonotonicClock clock) {
        this.clock = clock;
    }

    /** From now on what the threads do is counted; on the loop, like all that follows. */
    public void start() {
        before = ThreadTimes.read();
        beforeUs = clock.nowMicros();
    }

    /** A late loop is told from now on by what the threads do from now on. */
    public void resetBaseline() {
        before = before.again();
        beforeUs = clock.nowMicros();
    }

    /** A piece of work on the loop is done that began then. */
    public void taskFinished(String work, long sinceUs) {
        long us = clock.nowMicros() - sinceUs;
        if (us > longestUs) {
            longestUs = us;
            longest = work;
        }
    }

    /** With each tick, which came so late: null, or a line on what came since the last where that was late. */
    public String tick(long lagUs) {
        String line = null;
        if (before != null && lagUs > LATE_US && clock.nowMicros() - toldUs > QUIET_US) {
            toldUs = clock.nowMicros();
            ThreadTimes now = before.again();
            line = "the event loop was late by " + lagUs / 1000 + " ms; longest: " + longest + ", " + longestUs / 1000
                    + " ms; in the last " + (toldUs - beforeUs) / 1000 + " ms " + now.since(before);
            before = now;
            beforeUs = toldUs;
        }
        longest = "none";
        longestUs = 0;
        return line;
    }
}
