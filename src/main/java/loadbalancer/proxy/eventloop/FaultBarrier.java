package loadbalancer.proxy.eventloop;

import loadbalancer.proxy.observability.SidecarLog;

/**
 * Confines a failure to the task in which it arose. Catches errors as well as exceptions, as both may be caused by one
 * request alone: a stack overflow, a class that can't be loaded, memory that ran out. Netty would end the task too, but
 * a periodic one for good.
 */
public final class FaultBarrier {
    private FaultBarrier() {}

    /** Runs the task; returns false where it failed, and logs the failure under {@code taskName}. */
    public static boolean run(String taskName, Runnable task) {
        try {
            task.run();
            return true;
        } catch (RuntimeException | Error e) {
            log(taskName, e);
            return false;
        }
    }

    private static void log(String taskName, Throwable failure) {
        try {
            SidecarLog.error("task_failed task=" + SidecarLog.quote(taskName), failure);
        } catch (RuntimeException | Error e) {
            // There may be no memory left for the line: the next task runs all the same.
            return;
        }
    }
}
