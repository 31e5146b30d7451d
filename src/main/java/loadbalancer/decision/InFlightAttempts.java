package loadbalancer.decision;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;

/** Tracks the attempts of this sidecar that are in flight, by endpoint. */
final class InFlightAttempts {
    private final Set<TrackedEndpoint> busyEndpoints = new LinkedHashSet<>();

    /** The attempts in flight on one endpoint, in the order in which they were sent, and when it last responded. */
    static final class PerEndpoint {
        /** Initial capacity of the queue; most endpoints have few attempts in flight at a time. */
        private static final int INITIAL_CAPACITY = 4;

        private final ArrayDeque<Attempt> inSendOrder = new ArrayDeque<>(INITIAL_CAPACITY);
        /** Send time of the most recently sent attempt that the endpoint has responded to. */
        private long latestRespondedSentMicros = RateMath.NEVER_MICROS;

        private long lastResponseMicros = RateMath.NEVER_MICROS;

        int size() {
            return inSendOrder.size();
        }

        boolean isEmpty() {
            return inSendOrder.isEmpty();
        }

        Iterable<Attempt> inSendOrder() {
            return inSendOrder;
        }

        /** Returns whether the endpoint has responded to an attempt that was sent after this time. */
        boolean hasRespondedToAttemptSentAfter(long sentMicros) {
            return sentMicros < latestRespondedSentMicros;
        }

        /**
         * Returns the oldest attempt that is not overtaken, which the endpoint is probably processing, or null if there
         * is none.
         */
        Attempt oldestNotOvertaken() {
            Attempt oldest = inSendOrder.peekFirst();
            if (oldest == null || !oldest.isOvertaken()) {
                return oldest;
            }
            for (Attempt attempt : inSendOrder) {
                if (!attempt.isOvertaken()) {
                    return attempt;
                }
            }
            return null;
        }

        /**
         * Returns the number of attempts that are presumed lost. Only an overtaken attempt can be presumed lost, and
         * the oldest attempts are overtaken first.
         */
        int presumedLostCount(long nowMicros) {
            Attempt oldest = inSendOrder.peekFirst();
            if (oldest == null || !oldest.isOvertaken()) {
                return 0;
            }
            int presumedLost = 0;
            for (Attempt attempt : inSendOrder) {
                if (attempt.isPresumedLost(nowMicros)) {
                    presumedLost++;
                }
            }
            return presumedLost;
        }

        /** Returns when the endpoint last responded, whether with success or with an error. */
        long lastResponseMicros() {
            return lastResponseMicros;
        }
    }

    void add(Attempt attempt) {
        attempt.endpoint().attempts.inSendOrder.addLast(attempt);
        busyEndpoints.add(attempt.endpoint());
    }

    /** Removes an ended attempt and, if the endpoint responded to it, records the time of the response. */
    void remove(long nowMicros, Attempt attempt, AttemptOutcome outcome) {
        PerEndpoint attempts = attempt.endpoint().attempts;
        attempts.inSendOrder.remove(attempt);
        if (attempts.inSendOrder.isEmpty()) {
            busyEndpoints.remove(attempt.endpoint());
        }
        if (outcome == AttemptOutcome.OK || outcome == AttemptOutcome.ERROR) {
            attempts.latestRespondedSentMicros = Math.max(attempts.latestRespondedSentMicros, attempt.sentMicros());
            attempts.lastResponseMicros = nowMicros;
        }
    }

    /** Returns the endpoints with attempts in flight. Their number does not grow with the size of the fleet. */
    Set<TrackedEndpoint> busyEndpoints() {
        return busyEndpoints;
    }
}
