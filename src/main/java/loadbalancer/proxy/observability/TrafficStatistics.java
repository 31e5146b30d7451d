package loadbalancer.proxy.observability;

import java.util.EnumMap;
import java.util.Map;
import java.util.StringJoiner;
import java.util.TreeMap;
import loadbalancer.decision.AttemptOutcome;

/** What was counted since the last line in the log, for a comparison of good stretches with bad ones. */
public final class TrafficStatistics {
    private final Map<AttemptOutcome, Integer> outcomes = new EnumMap<>(AttemptOutcome.class);
    /** By class: a total can look well while one class is hardly served. */
    private final Map<String, Counts> classes = new TreeMap<>();

    private int failed;
    private int left;
    private int begun;
    private long heldUs;
    private long worstHeldUs;
    private int accepted;
    private int dialled;
    private long worstLagUs;

    private static final class Counts {
        int taken;
        int served;
        int refused;
    }

    private Counts of(String requestClass) {
        return classes.computeIfAbsent(requestClass, c -> new Counts());
    }

    public void requestAccepted(String requestClass) {
        of(requestClass).taken++;
    }

    public void requestServed(String requestClass) {
        of(requestClass).served++;
    }

    public void requestRejected(String requestClass) {
        of(requestClass).refused++;
    }

    public void requestFailed() {
        failed++;
    }

    /** The client went away before its answer. */
    public void clientDisconnected() {
        left++;
    }

    /** A request's first attempt, so long after the request was taken. */
    public void firstAttemptStarted(long afterUs) {
        begun++;
        heldUs += afterUs;
        worstHeldUs = Math.max(worstHeldUs, afterUs);
    }

    public void attemptCompleted(AttemptOutcome outcome) {
        outcomes.merge(outcome, 1, Integer::sum);
    }

    /** A connection of the application. */
    public void clientConnectionAccepted() {
        accepted++;
    }

    /** A connection to an upstream was begun. */
    public void upstreamConnectionOpened() {
        dialled++;
    }

    /** What makes the event loop late makes every answer late: too little of the core, a pause, or a fault here. */
    public void eventLoopLag(long us) {
        worstLagUs = Math.max(worstLagUs, us);
    }

    /** All of it in one line, and from the start again; null where nothing happened. */
    public String summary(int open, int clients, int upstreams) {
        if (classes.isEmpty() && accepted + dialled + open == 0) {
            worstLagUs = 0;
            return null;
        }
        StringJoiner counts = new StringJoiner("; ");
        classes.forEach((name, c) ->
                counts.add(name + " taken " + c.taken + ", served " + c.served + ", refused " + c.refused));
        String line = counts + "; failed " + failed + ", left " + left + ", open " + open
                + "; before the first attempt " + heldUs / Math.max(1, begun) + " us, at most " + worstHeldUs
                + "; attempts " + outcomes + "; clients' connections " + clients + " (" + accepted
                + " new), to upstreams " + upstreams + " (" + dialled + " new); the event loop late by up to "
                + worstLagUs / 1000 + " ms";
        outcomes.clear();
        classes.clear();
        failed = left = begun = accepted = dialled = 0;
        heldUs = worstHeldUs = worstLagUs = 0;
        return line;
    }
}
