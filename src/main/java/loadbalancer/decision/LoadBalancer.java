package loadbalancer.decision;

import java.util.List;
import loadbalancer.settings.LoadBalancerSettings;

/**
 * The decision module of one sidecar, also called the load balancer. The program that contains the module, its host,
 * reports events by calling these methods; during such a call the module carries out its decisions by calling
 * {@link LoadBalancerActions}. Not thread-safe: all calls must come from one thread.
 *
 * <p>Times are in microseconds of one monotonic clock, to which {@link Endpoint#startedMicros} also refers. The module
 * has no other source of time, so that the same events and the same seed give the same decisions.
 */
public interface LoadBalancer {
    /**
     * Replaces the settings, which the host has validated. Requests in progress keep their request class. If lists are
     * polled from now on, polling begins with the next failed call.
     */
    void onSettings(long nowMicros, LoadBalancerSettings settings);

    /** Reports an endpoint list or, with {@link EndpointListType#FAILED} and no endpoints, a failed discovery call. */
    void onEndpointList(long nowMicros, EndpointListType type, List<Endpoint> endpoints);

    /**
     * Reports a new request. Unless the request expires, it gets exactly one final response: a forwarded response, a
     * rejection or a failure.
     *
     * @throws IllegalArgumentException if the settings do not contain the request's class
     */
    void onRequest(long nowMicros, Request request);

    /** Reports how an attempt ended. If the attempt is not in flight, only its load report is used. */
    void onAttemptOutcome(long nowMicros, AttemptResult result);

    /**
     * Reports that the start of a streamed response was forwarded to the client. No further attempt is sent after that.
     */
    void onStreamStart(long nowMicros, String requestId, int attemptNumber, String endpointId, long latencyMicros);

    /** Reports the outcome of a health check; {@code loadReport} is null if the endpoint reported no load. */
    void onHealthCheck(
            long nowMicros, String endpointId, AttemptOutcome outcome, long latencyMicros, LoadReport loadReport);

    /**
     * Reports that the client has disconnected or the request's deadline has passed: the request no longer needs a
     * final response.
     */
    void onRequestExpired(long nowMicros, String requestId);

    /** Handles a gossip message; ignores it if it is malformed or the index is not that of another sidecar. */
    void onGossip(long nowMicros, int sidecarIndex, byte[] message);

    /** Reports that a timer started by {@link LoadBalancerActions#startTimer} has fired. */
    void onTimer(long nowMicros, String timerName);
}
