package loadbalancer.decision;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;

/** The attempts of this sidecar that are in flight, by endpoint. */
final class InFlightAttempts {
    private final Set<TrackedEndpoint> busyEndpoints = new LinkedHashSet<>();

    /** The attempts in flight on one endpoint, in the order of their sends, and when it last responded. */
    static final class PerEndpoint {
        /** Initial size of the queue; most endpoints have few attempts at a time. */
        private static final int INITIAL_CAPACITY = 4;

        private final ArrayDeque<Attempt> inOrder = new ArrayDeque<>(INITIAL_CAPACITY);
        /** Send time of the attempt that was sent last of those with a response. */
        private long latestRespondedSentMicros = RateMath.NEVER_MICROS;

        private long lastResponseMicros = RateMath.NEVER_MICROS;

        int size() {
            return inOrder.size();
        }

        boolean isEmpty() {
            return inOrder.isEmpty();
        }

        Iterable<Attempt> inOrder() {
            return inOrder;
        }

        /** Whether the endpoint has responded to an attempt that was sent after this time. */
        boolean hasRespondedToOneSentAfter(long sentMicros) {
            return sentMicros < latestRespondedSentMicros;
        }

        /** The oldest attempt that is not overtaken, or null: the endpoint is probably working on it. */
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

        /** Number of missing attempts. Only overtaken attempts can be missing, and the oldest are overtaken first. */
        int missingCount(long nowMicros) {
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

        /** When the endpoint last responded, with or without success. */
        long lastResponseMicros() {
            return lastResponseMicros;
        }
    }

    void add(Attempt attempt) {
        attempt.endpoint().attempts.inOrder.addLast(attempt);
        busyEndpoints.add(attempt.endpoint());
    }

    /** Removes an ended attempt, and notes a response of the endpoint. */
    void remove(long nowMicros, Attempt attempt, AttemptOutcome outcome) {
        PerEndpoint attempts = attempt.endpoint().attempts;
        attempts.inOrder.remove(attempt);
        if (attempts.inOrder.isEmpty()) {
            busyEndpoints.remove(attempt.endpoint());
        }
        if (outcome == AttemptOutcome.OK || outcome == AttemptOutcome.ERROR) {
            attempts.latestRespondedSentMicros = Math.max(attempts.latestRespondedSentMicros, attempt.sentMicros());
            attempts.lastResponseMicros = nowMicros;
        }
    }

    /** The endpoints with attempts in flight; their number does not grow with the fleet. */
    Set<TrackedEndpoint> busyEndpoints() {
        return busyEndpoints;
    }
}
