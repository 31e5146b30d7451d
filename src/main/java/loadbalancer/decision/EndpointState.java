package loadbalancer.decision;

/** Whether an endpoint takes requests, according to the endpoint list. */
public enum EndpointState {
    /** No longer listed: it takes no new requests, and those that it holds may be lost. */
    REMOVED,
    /** It takes requests. */
    READY,
    /** It finishes the requests that it holds and takes no new ones. */
    DRAINING
}
