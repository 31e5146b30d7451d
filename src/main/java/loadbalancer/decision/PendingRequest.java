package loadbalancer.decision;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.settings.RequestClass;

/** A request from its acceptance until it has its final response and no attempt is in flight. */
final class PendingRequest {
    private final Request clientRequest;
    private final RequestClass requestClass;
    private final double workMicros;
    private final long deadlineMicros;
    private final long usefulUntilMicros;
    private final long queueOrderMicros;
    private final List<Attempt> attempts = new ArrayList<>(1);
    private boolean finished;
    private boolean streaming;
    private boolean queued;
    private long overdueCheckMicros;

    final SampledLoadSelector.Sampling sampling = new SampledLoadSelector.Sampling();

    /**
     * @param workMicros expected work of the request, in microseconds of a standard core
     * @param relativePriority priority weight of the request's class divided by the highest priority weight, at most 1
     */
    PendingRequest(
            long nowMicros, Request request, RequestClass requestClass, double workMicros, double relativePriority) {
        clientRequest = request;
        this.requestClass = requestClass;
        this.workMicros = workMicros;
        deadlineMicros = nowMicros + request.remainingMicros();
        long objectiveMicros =
                (long) (requestClass.latencyObjectiveMicros() + requestClass.latencyObjectiveWorkRatio() * workMicros);
        long usefulMicros = requestClass.lateWeightRatio() > 0 ? request.remainingMicros() : objectiveMicros;
        usefulUntilMicros = Math.min(deadlineMicros, nowMicros + usefulMicros);
        double delayRatio = (1 - relativePriority) / 2 + (request.retry() ? 1 : 0);
        queueOrderMicros = nowMicros + objectiveMicros + (long) (delayRatio * objectiveMicros);
    }

    String id() {
        return clientRequest.id();
    }

    Request clientRequest() {
        return clientRequest;
    }

    RequestClass requestClass() {
        return requestClass;
    }

    double workMicros() {
        return workMicros;
    }

    long deadlineMicros() {
        return deadlineMicros;
    }

    /**
     * Returns the time after which a response is no longer useful: the deadline if late responses have value in this
     * request class, else the end of the latency objective.
     */
    long usefulUntilMicros() {
        return usefulUntilMicros;
    }

    /**
     * Returns the sort key of the queue; the request with the lowest key is served first. The key is the time at which
     * the latency objective ends, plus up to half an objective for a low priority, plus a whole one for a client's
     * retry.
     */
    long queueOrderMicros() {
        return queueOrderMicros;
    }

    /** Returns all attempts in the order in which they were sent; an attempt's number is its index. */
    List<Attempt> attempts() {
        return attempts;
    }

    boolean hasAttempts() {
        return !attempts.isEmpty();
    }

    boolean hasAttemptInFlight() {
        for (Attempt attempt : attempts) {
            if (!attempt.hasEnded()) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether an endpoint may have executed any of the attempts. */
    boolean mayHaveRun() {
        for (Attempt attempt : attempts) {
            if (attempt.mayHaveRun()) {
                return true;
            }
        }
        return false;
    }

    /** Returns the attempt with this number if it is in flight, else null. */
    Attempt attemptInFlight(int number) {
        if (number < 0 || number >= attempts.size() || attempts.get(number).hasEnded()) {
            return null;
        }
        return attempts.get(number);
    }

    /** Returns whether the request has its final response or its client no longer waits for one. */
    boolean isFinished() {
        return finished;
    }

    /** Called only by {@link RequestTracker}. */
    void markFinished() {
        finished = true;
    }

    /** Returns whether the start of the response has been forwarded to the client. */
    boolean isStreaming() {
        return streaming;
    }

    /** Called only by {@link RequestTracker}. */
    void markStreaming() {
        streaming = true;
    }

    boolean isQueued() {
        return queued;
    }

    /** Called only by {@link RequestQueue}. */
    void setQueued(boolean queued) {
        this.queued = queued;
    }

    /** Returns when a health check was last sent because the request's attempt was overdue; 0 if never. */
    long overdueCheckMicros() {
        return overdueCheckMicros;
    }

    /** Called only by {@link HedgingPolicy}. */
    void setOverdueCheckMicros(long nowMicros) {
        overdueCheckMicros = nowMicros;
    }
}
