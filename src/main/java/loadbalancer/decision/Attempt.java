package loadbalancer.decision;

/**
 * One forwarding of a request to an endpoint: the forecast made when it was sent, and how it ended.
 *
 * <p>An attempt in flight is <i>overdue</i> when it has taken much longer than forecast, <i>overtaken</i> when its
 * endpoint has responded to an attempt sent later, and <i>presumed lost</i> when it is overtaken and has taken several
 * times longer than forecast. It is <i>lost</i> when it is presumed lost or when a load report showed that the endpoint
 * does not hold it.
 */
final class Attempt {
    /** An attempt is overdue after this many times its forecast response time: its endpoint may have stalled. */
    static final double OVERDUE_RATIO = 1.5;
    /**
     * An overtaken attempt is presumed lost after this many times its forecast response time. An endpoint counts as
     * responding if its last response is less than that time ago.
     */
    private static final double PRESUMED_LOST_RATIO = 6;

    private final PendingRequest request;
    private final TrackedEndpoint endpoint;
    private final Endpoint listEntry;
    private final AttemptForecast forecast;
    private final long sentMicros;
    private final long connectionIdleMicros;
    private boolean ended;
    private boolean mayHaveRun = true;
    private boolean reportedLost;

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

    /**
     * Sets whether a load report showed that the endpoint does not hold the attempt. Called only by
     * {@link HedgingPolicy}.
     */
    void setReportedLost(boolean reportedLost) {
        this.reportedLost = reportedLost;
    }

    PendingRequest request() {
        return request;
    }

    TrackedEndpoint endpoint() {
        return endpoint;
    }

    /** Returns the endpoint's entry in the endpoint list when the attempt was sent. */
    Endpoint listEntry() {
        return listEntry;
    }

    AttemptForecast forecast() {
        return forecast;
    }

    long sentMicros() {
        return sentMicros;
    }

    /** Returns how long the connection had been idle when the attempt was sent; 0 if it was in use or new. */
    long connectionIdleMicros() {
        return connectionIdleMicros;
    }

    boolean hasEnded() {
        return ended;
    }

    /** Returns whether the endpoint may have executed the attempt: true until an outcome proves that it has not. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    boolean isOverdue(long nowMicros) {
        return nowMicros - sentMicros >= OVERDUE_RATIO * forecast.responseMicros();
    }

    /**
     * Returns whether the endpoint has responded to an attempt sent later. If so, the endpoint works and should have
     * responded to this attempt first.
     */
    boolean isOvertaken() {
        return endpoint.attempts.hasRespondedToAttemptSentAfter(sentMicros);
    }

    /**
     * Returns whether the attempt is overtaken and so late that it was probably lost on the network rather than still
     * being processed.
     */
    boolean isPresumedLost(long nowMicros) {
        return isOvertaken() && nowMicros - sentMicros > PRESUMED_LOST_RATIO * forecast.responseMicros();
    }

    /** Returns whether the attempt is lost. Its timeout is then attributed to the connection, not to the endpoint. */
    boolean isLost(long nowMicros) {
        return reportedLost || isPresumedLost(nowMicros);
    }

    /**
     * Returns whether the endpoint has responded to another attempt recently: within {@link #PRESUMED_LOST_RATIO} times
     * the forecast response time of this attempt.
     */
    boolean isEndpointResponding(long nowMicros) {
        return nowMicros - endpoint.attempts.lastResponseMicros() < PRESUMED_LOST_RATIO * forecast.responseMicros();
    }
}
