package loadbalancer.decision;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;

/** The attempts of this sidecar that are in flight, by endpoint. */
final class InFlightAttempts {
    private final Set<TrackedEndpoint> busyEndpoints = new LinkedHashSet<>();

    /** The attempts in flight on one endpoint, in the order of their sends, and when it answered last. */
    static final class OfEndpoint {
        private final ArrayDeque<Attempt> inOrder = new ArrayDeque<>();
        private long answeredSentMicros = Long.MIN_VALUE / 2;
        private long answeredMicros = Long.MIN_VALUE / 2;

        int size() {
            return inOrder.size();
        }

        boolean isEmpty() {
            return inOrder.isEmpty();
        }

        Iterable<Attempt> inOrder() {
            return inOrder;
        }

        /** Whether an attempt sent later than this has been answered. */
        boolean hasAnsweredAfter(long sentMicros) {
            return sentMicros < answeredSentMicros;
        }

        long answeredMicros() {
            return answeredMicros;
        }
    }

    void add(Attempt attempt) {
        attempt.endpoint().attempts.inOrder.addLast(attempt);
        busyEndpoints.add(attempt.endpoint());
    }

    /** Takes an ended attempt out. */
    void remove(long nowMicros, Attempt attempt, AttemptOutcome outcome) {
        OfEndpoint attempts = attempt.endpoint().attempts;
        attempts.inOrder.remove(attempt);
        if (attempts.inOrder.isEmpty()) {
            busyEndpoints.remove(attempt.endpoint());
        }
        if (outcome == AttemptOutcome.OK || outcome == AttemptOutcome.ERROR) {
            attempts.answeredSentMicros = Math.max(attempts.answeredSentMicros, attempt.sentMicros());
            attempts.answeredMicros = nowMicros;
        }
    }

    /** The endpoints with attempts: never more than there are attempts, however large the fleet is. */
    Set<TrackedEndpoint> busyEndpoints() {
        return busyEndpoints;
    }
}
