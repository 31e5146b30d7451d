package loadbalancer.decision;

import java.util.List;
import loadbalancer.settings.LoadBalancerSettings;

/**
 * The interface of the decision module: events come in as method calls, decisions go out through
 * {@link LoadBalancerActions}. Times are microseconds of one clock that only moves forward; nothing else tells the
 * module the time.
 */
public interface LoadBalancer {

    /**
     * Other settings hold from now on, checked by the host. Requests that are open keep their class; how lists come
     * ({@link LoadBalancerSettings#discoveryOnRequest}) is the same as before.
     */
    void onSettings(long now, LoadBalancerSettings settings);

    void onEndpointList(long now, EndpointListType kind, List<Endpoint> entries);

    void onRequest(long now, Request request);

    /** {@code done}: the request is over, by this outcome or already before it. */
    void onAttemptOutcome(
            long now,
            String request,
            int attempt,
            String upstream,
            AttemptOutcome outcome,
            long latencyUs,
            boolean done,
            LoadReport report);

    void onStreamStart(long now, String request, int attempt, String upstream, long latencyUs);

    void onHealthCheck(long now, String upstream, AttemptOutcome outcome, long latencyUs, LoadReport report);

    /** The client has left, or the answer is overdue: the request is over. */
    void onRequestExpired(long now, String request);

    void onGossip(long now, int peer, byte[] message);

    void onTimer(long now, String mark);
}
