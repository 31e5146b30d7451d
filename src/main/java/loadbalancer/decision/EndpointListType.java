package loadbalancer.decision;

/** How an endpoint list relates to the one before it. */
public enum EndpointListType {
    /** Only the entries that have changed; the others stay as they are. */
    DELTA,
    /** All endpoints; one that is missing has been removed. */
    FULL,
    /** Discovery could not be reached: the list is empty and the previous one remains in force. */
    FAILED,
    /** All endpoints as last known before the start of this sidecar; it may be out of date. */
    CACHED
}
