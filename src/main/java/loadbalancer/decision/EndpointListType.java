package loadbalancer.decision;

/** How an endpoint list relates to the previous list. */
public enum EndpointListType {
    /** The list contains only the entries that have changed; the others stay as they are. */
    DELTA,
    /** The list contains all endpoints; an endpoint that is missing has been removed. */
    FULL,
    /** Discovery could not be reached: the list is empty, and the previous list remains in effect. */
    FAILED,
    /** The list contains all endpoints as last known before the start of this sidecar and may be out of date. */
    CACHED
}
