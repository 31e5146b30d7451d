package loadbalancer.proxy.observability;

import java.util.ArrayDeque;

/**
 * The log of the process on standard error: one line for each event that an operator should know about, in the form
 * {@code event_name key=value ...}. Ordinary requests are not logged. Thread-safe. Logging never blocks the caller: a
 * daemon thread writes the lines, because a write to a pipe blocks while its reader does not read. If
 * {@link #MAX_PENDING_LINES} lines are waiting, further lines are dropped; a separate line reports how many.
 */
public final class SidecarLog {
    static final int MAX_PENDING_LINES = 1_024;

    private static final String PREFIX = "load-balancer: ";
    private static final long FLUSH_TIMEOUT_MILLIS = 500;
    private static final int MAX_STACK_FRAMES = 4;

    private static final Object LOCK = new Object();
    private static final ArrayDeque<String> PENDING_LINES = new ArrayDeque<>();
    private static long droppedLines;
    /** Whether the writer thread has removed a line from the queue that it has not written yet. */
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
            if (PENDING_LINES.size() >= MAX_PENDING_LINES) {
                droppedLines++;
                return;
            }
            PENDING_LINES.add(line);
            LOCK.notifyAll();
        }
    }

    /** Logs {@code event} with {@code failure}, which caused it, and the innermost frames of the stack trace. */
    public static void error(String event, Throwable failure) {
        StringBuilder line = new StringBuilder(event).append(" error=").append(quote(failure));
        StackTraceElement[] frames = failure.getStackTrace();
        for (int i = 0; i < Math.min(MAX_STACK_FRAMES, frames.length); i++) {
            line.append(" at=").append(quote(frames[i]));
        }
        info(line.toString());
    }

    /**
     * Returns a value in quotation marks, for use in a log line. Quotation marks in the value are replaced by
     * apostrophes and line breaks by spaces.
     */
    public static String quote(Object value) {
        return '"' + String.valueOf(value).replace('"', '\'').replace('\n', ' ').replace('\r', ' ') + '"';
    }

    /**
     * Blocks until all lines are written, but for at most half a second, because the reader of the log may have stopped
     * reading.
     */
    public static void flush() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + FLUSH_TIMEOUT_MILLIS * 1_000_000;
        synchronized (LOCK) {
            long remainingMillis = FLUSH_TIMEOUT_MILLIS;
            while (remainingMillis > 0 && (writing || !PENDING_LINES.isEmpty())) {
                LOCK.wait(remainingMillis);
                remainingMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
            }
        }
    }

    private static void writeLines() {
        try {
            while (true) {
                writeLine(nextLine());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes a line. An error, such as a lack of memory, costs this line but must not end the log. */
    private static void writeLine(String line) {
        try {
            System.err.println(PREFIX + line);
        } catch (RuntimeException | Error e) {
            synchronized (LOCK) {
                droppedLines++;
            }
        }
    }

    /** Marks the previous line as written, then blocks until there is another line and returns that line. */
    private static String nextLine() throws InterruptedException {
        synchronized (LOCK) {
            writing = false;
            LOCK.notifyAll();
            while (PENDING_LINES.isEmpty() && droppedLines == 0) {
                LOCK.wait();
            }
            writing = true;
            if (!PENDING_LINES.isEmpty()) {
                return PENDING_LINES.poll();
            }
            String line = "log_lines_dropped count=" + droppedLines;
            droppedLines = 0;
            return line;
        }
    }
}
