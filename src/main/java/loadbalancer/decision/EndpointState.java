package loadbalancer.decision;

/** Whether an endpoint accepts requests, according to the endpoint list. */
public enum EndpointState {
    /** The endpoint is no longer listed: it accepts no new requests, and the requests that it holds may be lost. */
    REMOVED,
    /** The endpoint accepts requests. */
    READY,
    /** The endpoint finishes the requests that it holds and accepts no new ones. */
    DRAINING
}
