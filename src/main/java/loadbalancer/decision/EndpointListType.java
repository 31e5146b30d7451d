package loadbalancer.decision;

/** A list is what changed, or whole, or could not be had, or what was known at the start. */
public enum EndpointListType {
    DELTA,
    FULL,
    FAILED,
    CACHED
}
