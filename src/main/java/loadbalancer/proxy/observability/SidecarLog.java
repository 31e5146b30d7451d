package loadbalancer.proxy.observability;

import java.util.ArrayDeque;

/**
 * One line to standard error for what an operator should know; nothing for a single request. Written by a thread of its
 * own: where nobody reads the other end of the pipe, a write blocks, and the event loop must not. Lines beyond
 * {@link #MOST_WAITING} are dropped, and their number is told once there is room again.
 */
public final class SidecarLog {
    static final int MOST_WAITING = 1_024;
    private static final long MOST_DRAIN_MS = 500;

    private static final Object LOCK = new Object();
    private static final ArrayDeque<String> WAITING = new ArrayDeque<>();
    private static long dropped;
    private static boolean writing;

    static {
        Thread writer = new Thread(SidecarLog::write, "log");
        writer.setDaemon(true);
        writer.start();
    }

    private SidecarLog() {}

    public static void info(String text) {
        synchronized (LOCK) {
            if (WAITING.size() >= MOST_WAITING) {
                dropped++;
                return;
            }
            WAITING.add(text);
            LOCK.notifyAll();
        }
    }

    /** A fault of this program: with the lines at which it arose. */
    public static void error(String what, Throwable e) {
        StringBuilder text = new StringBuilder(what).append(": ").append(e);
        StackTraceElement[] trace = e.getStackTrace();
        for (int i = 0; i < Math.min(4, trace.length); i++) {
            text.append(" at ").append(trace[i]);
        }
        info(text.toString());
    }

    /** Before the process ends: waits until all lines are out, not for ever where nobody reads them. */
    public static void flush() throws InterruptedException {
        long until = System.nanoTime() + MOST_DRAIN_MS * 1_000_000;
        synchronized (LOCK) {
            for (long leftMs = MOST_DRAIN_MS; leftMs > 0 && (writing || !WAITING.isEmpty()); ) {
                LOCK.wait(leftMs);
                leftMs = (until - System.nanoTime()) / 1_000_000;
            }
        }
    }

    private static void write() {
        try {
            while (true) {
                String line = next();
                System.err.println("load-balancer: " + line);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String next() throws InterruptedException {
        synchronized (LOCK) {
            writing = false;
            LOCK.notifyAll();
            while (WAITING.isEmpty() && dropped == 0) {
                LOCK.wait();
            }
            writing = true;
            if (!WAITING.isEmpty()) {
                return WAITING.poll();
            }
            String text = dropped + " lines were dropped: the reader of this log is too slow";
            dropped = 0;
            return text;
        }
    }
}
