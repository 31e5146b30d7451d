package loadbalancer.decision;

/** Whether an endpoint takes requests, according to the endpoint list. */
public enum EndpointState {
    /** No longer listed: it takes nothing new and what it has may be lost. */
    REMOVED,
    /** It takes requests. */
    READY,
    /** It finishes what it has and takes nothing new. */
    DRAINING
}
