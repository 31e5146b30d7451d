package loadbalancer.decision;

/**
 * One forwarding of a request to an endpoint: what was known at the send, and how it ended.
 *
 * <p>An attempt in flight is <i>overdue</i> when it has taken much longer than forecast, <i>overtaken</i> when its
 * endpoint has responded to an attempt sent later, and <i>missing</i> when it is overtaken and far beyond the forecast.
 * It is <i>lost</i> when it is missing or a load report showed that the endpoint does not hold it.
 */
final class Attempt {
    /** An attempt is overdue after this many times its forecast time: its endpoint may have stalled. */
    static final double OVERDUE_RATIO = 1.5;
    /** An overtaken attempt is missing after this many times its forecast time. */
    private static final double MISSING_RATIO = 6;

    private final PendingRequest request;
    private final TrackedEndpoint endpoint;
    private final Endpoint listEntry;
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
        listEntry = endpoint.listEntry();
        this.forecast = forecast;
        this.sentMicros = sentMicros;
        this.connectionIdleMicros = connectionIdleMicros;
    }

    void end(AttemptOutcome outcome) {
        ended = true;
        mayHaveRun = outcome.mayHaveRun;
    }

    /** Called by {@link HedgingPolicy} alone, which compares a load report with the overdue attempts. */
    void setLost(boolean lost) {
        this.lost = lost;
    }

    PendingRequest request() {
        return request;
    }

    TrackedEndpoint endpoint() {
        return endpoint;
    }

    /** The endpoint's entry in the endpoint list at the time of the send. */
    Endpoint listEntry() {
        return listEntry;
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
        return nowMicros - sentMicros >= OVERDUE_RATIO * forecast.responseMicros();
    }

    /** Whether the endpoint has responded to an attempt sent later: it works, and its queue is past this attempt. */
    boolean isOvertaken() {
        return endpoint.attempts.hasRespondedToOneSentAfter(sentMicros);
    }

    /** Whether it is overtaken and so late that it was more likely lost on the network than still being worked on. */
    boolean isMissing(long nowMicros) {
        return isOvertaken() && nowMicros - sentMicros > MISSING_RATIO * forecast.responseMicros();
    }

    /** Whether its timeout would be a failure of the connection rather than of the endpoint. */
    boolean isLost(long nowMicros) {
        return lost || isMissing(nowMicros);
    }

    /** Whether the endpoint has responded to another attempt within the last few times this attempt's forecast time. */
    boolean isEndpointResponding(long nowMicros) {
        return nowMicros - endpoint.attempts.lastResponseMicros() < MISSING_RATIO * forecast.responseMicros();
    }
}
