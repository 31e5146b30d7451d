package loadbalancer.proxy.eventloop;

import loadbalancer.proxy.observability.SidecarLog;

/**
 * Runs tasks so that a failure ends only the task in which it occurred. Catches errors as well as exceptions, because a
 * single request may cause either: a stack overflow, a class that can't be loaded, or lack of memory. Without this, a
 * periodic task that throws would never run again. Stateless.
 */
public final class FaultIsolation {
    private FaultIsolation() {}

    /** Runs the task. Returns false if it threw; the failure is then logged with {@code taskName}. */
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
            // There may be too little memory for the log line. The next task has to run even so.
            return;
        }
    }
}
