package loadbalancer.simulation;

import java.util.PriorityQueue;

/**
 * A virtual clock and the events scheduled on it. Events run in the order of their times; events with the same time run
 * in the order in which they were scheduled. A simulation is therefore deterministic. Not thread-safe.
 */
final class EventQueue {
    private record Event(long atMicros, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atMicros != other.atMicros
                    ? Long.compare(atMicros, other.atMicros)
                    : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowMicros;
    private long scheduledCount;

    EventQueue(long startMicros) {
        nowMicros = startMicros;
    }

    /** Returns the current virtual time, which never decreases. */
    long nowMicros() {
        return nowMicros;
    }

    /** Schedules the action to run after the delay; a negative delay counts as 0. */
    void schedule(long delayMicros, Runnable action) {
        events.add(new Event(nowMicros + Math.max(0, delayMicros), scheduledCount++, action));
    }

    /** Runs all events up to and including this time, advances the clock to it, and returns the number of events. */
    long runUntil(long untilMicros) {
        long eventCount = 0;
        while (!events.isEmpty() && events.peek().atMicros <= untilMicros) {
            Event event = events.poll();
            nowMicros = event.atMicros;
            event.action.run();
            eventCount++;
        }
        nowMicros = untilMicros;
        return eventCount;
    }
}
