package loadbalancer.decision;

/** One forwarding of a request to an endpoint: what was known at the send, and how it ended. */
final class Attempt {
    /** In flight for so many times what was expected, an attempt is overdue: its endpoint may not be alive. */
    static final double OVERDUE_RATIO = 1.5;
    /** Overtaken by later answers and in flight for so many times what was expected, an attempt counts as lost. */
    private static final double MISSING_RATIO = 6;

    private final PendingRequest request;
    private final TrackedEndpoint endpoint;
    private final Endpoint listing;
    private final AttemptForecast forecast;
    private final long sentMicros;
    private final long connectionIdleMicros;
    private boolean ended;
    private boolean mayHaveRun = true;
    private boolean lost;

    Attempt(
            PendingRequest request,
            TrackedEndpoint endpoint,
            AttemptForecast forecast,
            long sentMicros,
            long connectionIdleMicros) {
        this.request = request;
        this.endpoint = endpoint;
        listing = endpoint.listing();
        this.forecast = forecast;
        this.sentMicros = sentMicros;
        this.connectionIdleMicros = connectionIdleMicros;
    }

    void end(AttemptOutcome outcome) {
        ended = true;
        mayHaveRun = outcome.mayHaveRun;
    }

    /** Notes whether the endpoint reports fewer requests than were sent, this one among the overdue. */
    void setLost(boolean lost) {
        this.lost = lost;
    }

    PendingRequest request() {
        return request;
    }

    TrackedEndpoint endpoint() {
        return endpoint;
    }

    /** The endpoint's line of the list at the send. */
    Endpoint listing() {
        return listing;
    }

    AttemptForecast forecast() {
        return forecast;
    }

    long sentMicros() {
        return sentMicros;
    }

    /** How long the connection had been idle at the send; 0 where it was in use or new. */
    long connectionIdleMicros() {
        return connectionIdleMicros;
    }

    boolean hasEnded() {
        return ended;
    }

    /** Whether the endpoint may have executed it: true until an outcome proves otherwise. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    boolean isOverdue(long nowMicros) {
        return nowMicros - sentMicros >= OVERDUE_RATIO * forecast.timeMicros();
    }

    /** The endpoint has answered what was sent later: it works, and its queue is past this attempt. */
    boolean isOvertaken() {
        return endpoint.attempts.hasAnsweredAfter(sentMicros);
    }

    /** Overtaken and in flight for many times longer than expected: lost on its way, not still at work. */
    boolean isMissing(long nowMicros) {
        return isOvertaken() && nowMicros - sentMicros > MISSING_RATIO * forecast.timeMicros();
    }

    /** Whether a time-out of it is a failure of the connection rather than of the endpoint. */
    boolean isLost(long nowMicros) {
        return lost || isMissing(nowMicros);
    }

    /** The endpoint has answered another attempt within the time that an answer takes. */
    boolean isEndpointAnswering(long nowMicros) {
        return nowMicros - endpoint.attempts.answeredMicros() < MISSING_RATIO * forecast.timeMicros();
    }
}
