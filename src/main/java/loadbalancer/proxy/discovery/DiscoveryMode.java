package loadbalancer.proxy.discovery;

/** Who starts the calls to discovery. */
public enum DiscoveryMode {
    /** The sidecar watches the list from the start; the load balancer never polls. */
    PUSHED,
    /**
     * The first call is made when the load balancer polls. The result of each poll is reported to it, even without
     * changes.
     */
    POLLED
}
