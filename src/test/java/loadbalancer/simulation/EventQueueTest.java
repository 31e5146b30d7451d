package loadbalancer.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Verifies that events run in the order of their times and of scheduling, and that the clock shows the event's time.
 */
class EventQueueTest {
    private final EventQueue events = new EventQueue(1_000);
    private final List<String> executedEvents = new ArrayList<>();

    private void schedule(long delayMicros, String name) {
        events.schedule(delayMicros, () -> executedEvents.add(name + " at " + events.nowMicros()));
    }

    @Test
    void runsEventsInOrderUpToAndIncludingEndTime() {
        schedule(30, "late");
        schedule(20, "first");
        schedule(20, "second");
        schedule(-5, "at once");
        assertEquals(3, events.runUntil(1_020));
        assertEquals(List.of("at once at 1000", "first at 1020", "second at 1020"), executedEvents);
        assertEquals(1_020, events.nowMicros());
    }

    @Test
    void runsEventsScheduledByEvents() {
        events.schedule(10, () -> schedule(10, "scheduled"));
        assertEquals(2, events.runUntil(1_500));
        assertEquals(List.of("scheduled at 1020"), executedEvents);
        assertEquals(1_500, events.nowMicros());
    }
}
