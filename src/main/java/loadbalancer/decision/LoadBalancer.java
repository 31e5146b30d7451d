package loadbalancer.decision;

import java.util.List;
import loadbalancer.settings.LoadBalancerSettings;

/**
 * The decision module of one sidecar. The host reports events by calling these methods; during such a call the module
 * makes its decisions known by calling {@link LoadBalancerActions}. Not thread-safe: all calls come from one thread.
 *
 * <p>Times are microseconds of one clock that only moves forward. The module has no other source of time, so that the
 * same events and the same seed give the same decisions.
 */
public interface LoadBalancer {
    /**
     * Replaces the settings; the host has checked the new ones. Requests in progress keep their request class.
     * {@link LoadBalancerSettings#polledDiscovery} must be the same as before.
     */
    void onSettings(long nowMicros, LoadBalancerSettings settings);

    /** Reports an endpoint list or, with {@link EndpointListType#FAILED} and no endpoints, a failed discovery call. */
    void onEndpointList(long nowMicros, EndpointListType type, List<Endpoint> endpoints);

    /**
     * Takes a request. Unless it expires, it gets exactly one final response: a forwarded one, a rejection or a
     * failure.
     *
     * @throws IllegalArgumentException if the settings have no such request class
     */
    void onRequest(long nowMicros, Request request);

    /** Reports how an attempt ended. */
    void onAttemptOutcome(long nowMicros, AttemptResult result);

    /** The first part of a streamed response was forwarded to the client: no further attempt may be sent. */
    void onStreamStart(long nowMicros, String requestId, int attemptNumber, String endpointId, long latencyMicros);

    /** Reports the outcome of a health check; {@code loadReport} is null where the endpoint reported no load. */
    void onHealthCheck(
            long nowMicros, String endpointId, AttemptOutcome outcome, long latencyMicros, LoadReport loadReport);

    /** The client has left or its deadline has passed: the request needs no final response any more. */
    void onRequestExpired(long nowMicros, String requestId);

    /** Takes a gossip message from another sidecar; a malformed one is ignored. */
    void onGossip(long nowMicros, int sidecarIndex, byte[] message);

    /** A timer started by {@link LoadBalancerActions#startTimer} is due. */
    void onTimer(long nowMicros, String timerName);
}
