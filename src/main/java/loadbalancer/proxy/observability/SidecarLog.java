package loadbalancer.proxy.observability;

import java.util.ArrayDeque;

/**
 * The log of the process on standard error: one line for each event that an operator should know about, in the form
 * {@code event_name key=value ...}. Ordinary requests are not logged. Thread-safe. Logging never blocks the caller: a
 * daemon thread writes the lines, because a write to a pipe blocks while its reader does not read. If more than
 * {@link #MAX_PENDING} lines are waiting, further ones are dropped; a line of its own states how many.
 */
public final class SidecarLog {
    static final int MAX_PENDING = 1_024;

    private static final String PREFIX = "load-balancer: ";
    private static final long FLUSH_TIMEOUT_MILLIS = 500;
    private static final int MAX_STACK_FRAMES = 4;

    private static final Object LOCK = new Object();
    private static final ArrayDeque<String> PENDING = new ArrayDeque<>();
    private static long dropped;
    /** Whether the writer has taken a line that is not written yet. */
    private static boolean writing;

    static {
        Thread writer = new Thread(SidecarLog::writeLines, "log");
        writer.setDaemon(true);
        writer.start();
    }

    private SidecarLog() {}

    /** Logs one line, which must not contain a line break. */
    public static void info(String line) {
        synchronized (LOCK) {
            if (PENDING.size() >= MAX_PENDING) {
                dropped++;
                return;
            }
            PENDING.add(line);
            LOCK.notifyAll();
        }
    }

    /** Logs {@code event} with the failure that caused it and the innermost frames of its stack trace. */
    public static void error(String event, Throwable failure) {
        StringBuilder line = new StringBuilder(event).append(" error=").append(quote(failure));
        StackTraceElement[] frames = failure.getStackTrace();
        for (int i = 0; i < Math.min(MAX_STACK_FRAMES, frames.length); i++) {
            line.append(" at=").append(quote(frames[i]));
        }
        info(line.toString());
    }

    /**
     * Puts a value into quotation marks, for use in a log line. Quotation marks and line breaks inside it are replaced.
     */
    public static String quote(Object value) {
        return '"' + String.valueOf(value).replace('"', '\'').replace('\n', ' ').replace('\r', ' ') + '"';
    }

    /**
     * Blocks until all lines are written, but for half a second at most, as the reader of the log may have stopped
     * reading.
     */
    public static void flush() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + FLUSH_TIMEOUT_MILLIS * 1_000_000;
        synchronized (LOCK) {
            long remainingMillis = FLUSH_TIMEOUT_MILLIS;
            while (remainingMillis > 0 && (writing || !PENDING.isEmpty())) {
                LOCK.wait(remainingMillis);
                remainingMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
            }
        }
    }

    private static void writeLines() {
        try {
            while (true) {
                String line = nextLine();
                System.err.println(PREFIX + line);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Marks the previous line as written, then blocks until there is another one and returns it. */
    private static String nextLine() throws InterruptedException {
        synchronized (LOCK) {
            writing = false;
            LOCK.notifyAll();
            while (PENDING.isEmpty() && dropped == 0) {
                LOCK.wait();
            }
            writing = true;
            if (!PENDING.isEmpty()) {
                return PENDING.poll();
            }
            String line = "log_lines_dropped count=" + dropped;
            dropped = 0;
            return line;
        }
    }
}
