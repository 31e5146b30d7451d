package loadbalancer.proxy.eventloop;

import loadbalancer.proxy.observability.SidecarLog;

/**
 * Runs tasks so that a failure ends only the task in which it occurred. Catches errors as well as exceptions, because a
 * single request may cause errors too, such as a stack overflow, a class that can't be loaded, or lack of memory. If an
 * exception reached the event loop, a periodic task that threw it would never run again. Stateless.
 */
public final class FaultIsolation {
    private FaultIsolation() {}

    /**
     * Runs the task and returns true, or logs the failure with {@code taskName} and returns false if the task threw.
     */
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
            // There may not be enough memory for the log line. The next task has to run nevertheless.
            return;
        }
    }
}
