package loadbalancer.proxy.eventloop;

import loadbalancer.proxy.observability.SidecarLog;

/**
 * Keeps a failure to the piece of work in which it arose. An error as well as an exception: a stack that overflowed, a
 * class that could not be loaded or memory that ran out in one request ends that request, and a timer that runs again
 * and again must not stop because it failed once.
 */
public final class FaultBarrier {
    private FaultBarrier() {}

    /** Runs {@code work}; false where it failed, which is logged under {@code name}. */
    public static boolean run(String name, Runnable work) {
        try {
            work.run();
            return true;
        } catch (RuntimeException | Error e) {
            log(name, e);
            return false;
        }
    }

    private static void log(String name, Throwable failure) {
        try {
            SidecarLog.error(name + " failed", failure);
        } catch (RuntimeException | Error e) {
            // Without the memory for a line the process goes on all the same.
            return;
        }
    }
}
