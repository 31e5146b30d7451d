package loadbalancer.proxy.eventloop;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class EventLoopMonitorTest {
    /** Only a late loop is reported, with the longest task of the interval, and at most once per second. */
    @Test
    void reportsLateLoopWithLongestTaskOfInterval() {
        MonotonicClock clock = new MonotonicClock();
        EventLoopMonitor monitor = new EventLoopMonitor(clock);
        monitor.recordFinishedTask("before the start", clock.nowMicros() - 900_000);
        assertNull(monitor.checkLag(300_000));
        monitor.start();
        monitor.recordFinishedTask("short", clock.nowMicros() - 2_000);
        assertNull(monitor.checkLag(100_000));
        monitor.recordFinishedTask("long", clock.nowMicros() - 500_000);
        monitor.recordFinishedTask("short", clock.nowMicros() - 2_000);
        String line = monitor.checkLag(300_000);
        assertTrue(line.startsWith("event_loop_late lag_millis=300 longest_task=\"long\" longest_task_millis=5"), line);
        assertNull(monitor.checkLag(300_000));
    }

    /** The thread times show whether the loop was busy or had to wait for a processor. */
    @Test
    void reportsLateLoopWithThreadTimes() {
        MonotonicClock clock = new MonotonicClock();
        EventLoopMonitor monitor = new EventLoopMonitor(clock);
        monitor.start();
        long deadlineNanos = System.nanoTime() + 50_000_000;
        long iterations = 0;
        while (System.nanoTime() < deadlineNanos) {
            iterations++;
        }
        assertTrue(iterations > 0);
        String line = monitor.checkLag(300_000);
        assertTrue(line.matches(".* window_millis=\\d+( thread=\"[^\"]+\" ran_millis=\\d+ waited_millis=\\d+)+"), line);
    }
}
