package loadbalancer.proxy.client;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.decision.Request;
import loadbalancer.proxy.upstream.UpstreamCall;

/**
 * One request and its attempts, from its receipt until it is completed and has no attempt in flight. Confined to the
 * event loop. Times are in microseconds of the {@link loadbalancer.proxy.eventloop.MonotonicClock}.
 */
final class RequestExchange {
    private static final long MICROS_PER_MILLI = 1_000;

    private final Request request;
    /** Null once the request is completed, because a large body would be held until its last attempt has ended. */
    private RequestPayload payload;

    private final long deadlineMicros;
    private final RequestSource source;
    private final ResponseHandler responseHandler;
    private final List<UpstreamCall> attempts = new ArrayList<>(1);
    private long dispatchedMicros;
    private boolean completed;

    /**
     * Creates the exchange of a request that has no attempt yet.
     *
     * @param deadlineMicros the time by which the response has to be written
     * @param source the connection that the request came from
     */
    RequestExchange(
            Request request,
            RequestPayload payload,
            long deadlineMicros,
            RequestSource source,
            ResponseHandler responseHandler) {
        this.request = request;
        this.payload = payload;
        this.deadlineMicros = deadlineMicros;
        this.source = source;
        this.responseHandler = responseHandler;
    }

    Request request() {
        return request;
    }

    String requestId() {
        return request.id();
    }

    /** Returns what attempts send. Must not be called once the request is completed. */
    RequestPayload payload() {
        return payload;
    }

    long deadlineMicros() {
        return deadlineMicros;
    }

    RequestSource source() {
        return source;
    }

    ResponseHandler responseHandler() {
        return responseHandler;
    }

    /** Returns the attempts in the order in which they were started; the index of an attempt is its number. */
    List<UpstreamCall> attempts() {
        return attempts;
    }

    /** Returns when the dispatcher received the request; 0 until then. */
    long dispatchedMicros() {
        return dispatchedMicros;
    }

    void recordDispatch(long nowMicros) {
        dispatchedMicros = nowMicros;
    }

    /** Returns whether the final response was written, or is not needed because the client has disconnected. */
    boolean isCompleted() {
        return completed;
    }

    void markCompleted() {
        completed = true;
        payload = null;
    }

    /** Returns whether an endpoint may have executed the request. */
    boolean mayHaveBeenExecuted() {
        return attempts.stream().anyMatch(UpstreamCall::isWritten);
    }

    boolean hasAttemptInFlight() {
        return !attempts.stream().allMatch(UpstreamCall::hasEnded);
    }

    /** Returns whether the request is completed and all of its attempts have ended. */
    boolean hasEnded() {
        return completed && !hasAttemptInFlight();
    }

    /**
     * Returns the log line for a late response. It says how late the response is and lists each attempt with its times
     * since the request was dispatched.
     */
    String describeLateResponse(long nowMicros) {
        StringBuilder line = new StringBuilder("response_late request=")
                .append(request.id())
                .append(" late_millis=")
                .append((nowMicros - deadlineMicros) / MICROS_PER_MILLI)
                .append(" elapsed_millis=")
                .append(millisSinceDispatch(nowMicros))
                .append(" attempts=")
                .append(attempts.size());
        for (int number = 0; number < attempts.size(); number++) {
            UpstreamCall attempt = attempts.get(number);
            line.append(" attempt=").append(number);
            line.append(" endpoint=").append(attempt.endpointId());
            line.append(" started_millis=").append(millisSinceDispatch(attempt.startedMicros()));
            if (attempt.hasEnded()) {
                line.append(" outcome=").append(attempt.outcome());
                line.append(" ended_millis=").append(millisSinceDispatch(attempt.endedMicros()));
            }
        }
        return line.toString();
    }

    private long millisSinceDispatch(long timeMicros) {
        return (timeMicros - dispatchedMicros) / MICROS_PER_MILLI;
    }
}
