import java.io.IOException;
import java.util.concurrent.locks.LockSupport;

/** Starts the threads of the stand-ins. They end with the program. */
final class Daemons {
    private static final int STACK_BYTES = 256 * 1024;

    private Daemons() {}

    /** A task of a connection, which ends when the connection does. */
    @FunctionalInterface
    interface ConnectionTask {
        void run() throws IOException;
    }

    static void start(String name, ConnectionTask task) {
        Runnable untilConnectionEnds = () -> {
            try {
                task.run();
            } catch (IOException e) {
                // The other side has closed or reset the connection, or this program ends.
                return;
            }
        };
        Thread thread = new Thread(null, untilConnectionEnds, name, STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }

    static void sleepNanos(long nanos) {
        LockSupport.parkNanos(nanos);
    }

    /** Sleeps at least this long. */
    static void sleepMillis(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException("no thread of the stand-ins is interrupted", e);
        }
    }
}
