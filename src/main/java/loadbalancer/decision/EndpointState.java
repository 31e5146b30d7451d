package loadbalancer.decision;

/** What the list says of an upstream. */
public enum EndpointState {
    REMOVED,
    READY,
    DRAINING
}
