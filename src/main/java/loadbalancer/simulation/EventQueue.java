package loadbalancer.simulation;

import java.util.PriorityQueue;

/** One virtual clock and what happens on it, in order of time and, at one time, of its scheduling. */
final class EventQueue {
    private record Event(long atUs, long number, Runnable run) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowUs;
    private long scheduled;

    EventQueue(long startUs) {
        nowUs = startUs;
    }

    /** Microseconds; only moves forward. */
    long now() {
        return nowUs;
    }

    void after(long delayUs, Runnable run) {
        events.add(new Event(nowUs + Math.max(0, delayUs), scheduled++, run));
    }

    /** Plays all up to this time, and returns how many events that were. */
    long playTo(long untilUs) {
        long played = 0;
        for (Event e; (e = events.peek()) != null && e.atUs <= untilUs; played++) {
            events.poll();
            nowUs = e.atUs;
            e.run.run();
        }
        nowUs = untilUs;
        return played;
    }
}
