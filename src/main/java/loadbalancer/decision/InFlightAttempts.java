package loadbalancer.decision;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;

/** The attempts of this sidecar that are in flight, by endpoint. */
final class InFlightAttempts {
    private final Set<TrackedEndpoint> busyEndpoints = new LinkedHashSet<>();

    /** The attempts in flight on one endpoint, in the order of their sends, and when it answered last. */
    static final class OfEndpoint {
        /** Most endpoints have few attempts at a time. */
        private static final int INITIAL_CAPACITY = 4;

        private final ArrayDeque<Attempt> inOrder = new ArrayDeque<>(INITIAL_CAPACITY);
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

        /** The oldest attempt that no answer has overtaken, or null: what the endpoint is at work on. */
        Attempt oldestNotOvertaken() {
            Attempt oldest = inOrder.peekFirst();
            if (oldest == null || !oldest.isOvertaken()) {
                return oldest;
            }
            for (Attempt attempt : inOrder) {
                if (!attempt.isOvertaken()) {
                    return attempt;
                }
            }
            return null;
        }

        /** Number of attempts that were lost on their way; only overtaken ones can be, and they come first. */
        int missing(long nowMicros) {
            Attempt oldest = inOrder.peekFirst();
            if (oldest == null || !oldest.isOvertaken()) {
                return 0;
            }
            int missing = 0;
            for (Attempt attempt : inOrder) {
                if (attempt.isMissing(nowMicros)) {
                    missing++;
                }
            }
            return missing;
        }

        /** When the endpoint last answered. */
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
