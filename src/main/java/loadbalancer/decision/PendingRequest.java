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
     * @param workMicros its expected work, in microseconds of a standard core
     * @param relativePriority its class's priority weight relative to the highest one, up to 1
     */
    PendingRequest(
            long nowMicros, Request request, RequestClass requestClass, double workMicros, double relativePriority) {
        clientRequest = request;
        this.requestClass = requestClass;
        this.workMicros = workMicros;
        deadlineMicros = nowMicros + request.remainingMicros();
        long objectiveMicros =
                (long) (requestClass.latencyObjectiveMicros() + requestClass.latencyObjectiveWorkRatio() * workMicros);
        long usefulMicros = requestClass.lateWeight() > 0 ? request.remainingMicros() : objectiveMicros;
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

    /** When a response ceases to be useful: the deadline where late responses count, else the latency objective. */
    long usefulUntilMicros() {
        return usefulUntilMicros;
    }

    /**
     * Sort key of the queue; the least is served first. It is the time of the latency objective, moved later by up to
     * half an objective for a low priority and by a whole one for a client's retry.
     */
    long queueOrderMicros() {
        return queueOrderMicros;
    }

    /** All attempts in the order of their sends; an attempt's number is its index. */
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

    /** Whether any attempt may have been executed by an endpoint. */
    boolean mayHaveRun() {
        for (Attempt attempt : attempts) {
            if (attempt.mayHaveRun()) {
                return true;
            }
        }
        return false;
    }

    /** The attempt in flight of this number, or null. */
    Attempt attemptInFlight(int number) {
        if (number < 0 || number >= attempts.size() || attempts.get(number).hasEnded()) {
            return null;
        }
        return attempts.get(number);
    }

    /** Whether it has its final response or its client no longer waits for one. */
    boolean isFinished() {
        return finished;
    }

    /** Called by {@link RequestTracker} alone. */
    void markFinished() {
        finished = true;
    }

    /** Whether the first part of its response has been forwarded. */
    boolean isStreaming() {
        return streaming;
    }

    /** Called by {@link RequestTracker} alone. */
    void markStreaming() {
        streaming = true;
    }

    boolean isQueued() {
        return queued;
    }

    /** Called by {@link RequestQueue} alone. */
    void setQueued(boolean queued) {
        this.queued = queued;
    }

    /** When a health check was last sent because its attempt was overdue. */
    long overdueCheckMicros() {
        return overdueCheckMicros;
    }

    /** Called by {@link HedgingPolicy} alone. */
    void setOverdueCheckMicros(long nowMicros) {
        overdueCheckMicros = nowMicros;
    }
}
