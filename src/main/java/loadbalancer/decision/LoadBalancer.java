package loadbalancer.decision;

import java.util.List;
import loadbalancer.settings.LoadBalancerSettings;

/**
 * The decision module of one sidecar. The host reports events by these methods; decisions come out through
 * {@link LoadBalancerActions}, also during a call. Not thread-safe: all calls come from one thread.
 *
 * <p>Times are microseconds of one clock that only moves forward. Nothing else tells the module the time, so that the
 * same events and the same seed give the same decisions.
 */
public interface LoadBalancer {
    /**
     * Puts other settings in force, which the host has checked. Requests in progress keep their request class. How
     * endpoint lists come ({@link LoadBalancerSettings#polledDiscovery}) never changes.
     */
    void onSettings(long nowMicros, LoadBalancerSettings settings);

    /** Reports an endpoint list, or that it could not be had; {@code endpoints} is empty then. */
    void onEndpointList(long nowMicros, EndpointListType type, List<Endpoint> endpoints);

    /**
     * Takes a request. It is decided by exactly one final action or outcome.
     *
     * @throws IllegalArgumentException if the settings have no such request class
     */
    void onRequest(long nowMicros, Request request);

    /** Reports how an attempt ended. */
    void onAttemptOutcome(long nowMicros, AttemptResult result);

    /** The first part of a streamed response was forwarded: from now on there is no other attempt. */
    void onStreamStart(long nowMicros, String requestId, int attempt, String endpointId, long latencyMicros);

    /** Reports the outcome of a health check; {@code loadReport} is null where the endpoint reported no load. */
    void onHealthCheck(
            long nowMicros, String endpointId, AttemptOutcome outcome, long latencyMicros, LoadReport loadReport);

    /** The client has left, or the answer is overdue: the request is over. */
    void onRequestExpired(long nowMicros, String requestId);

    /** Takes gossip of another sidecar; a malformed message is ignored. */
    void onGossip(long nowMicros, int sidecarIndex, byte[] message);

    /** A timer started by {@link LoadBalancerActions#startTimer} is due. */
    void onTimer(long nowMicros, String timerName);
}
