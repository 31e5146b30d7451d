package loadbalancer.simulation;

import java.util.PriorityQueue;

/**
 * A virtual clock and the events scheduled on it. Events run in the order of their time and, at the same time, in the
 * order in which they were scheduled, so that a simulation is deterministic. Not thread-safe.
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

    /** The present time, which only moves forward. */
    long nowMicros() {
        return nowMicros;
    }

    /** Runs the action after the delay; a negative delay counts as none. */
    void schedule(long delayMicros, Runnable action) {
        events.add(new Event(nowMicros + Math.max(0, delayMicros), scheduledCount++, action));
    }

    /** Runs all events up to and including this time; returns how many. */
    long runUntil(long untilMicros) {
        long count = 0;
        while (!events.isEmpty() && events.peek().atMicros <= untilMicros) {
            Event event = events.poll();
            nowMicros = event.atMicros;
            event.action.run();
            count++;
        }
        nowMicros = untilMicros;
        return count;
    }
}
