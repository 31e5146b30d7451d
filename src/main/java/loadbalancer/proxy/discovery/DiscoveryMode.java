package loadbalancer.proxy.discovery;

/** Determines whether the sidecar or the load balancer starts calls to discovery. */
public enum DiscoveryMode {
    /** The sidecar watches the endpoint list from its start; the load balancer never polls. */
    PUSHED,
    /**
     * The first call is made when the load balancer polls. The load balancer is notified of the result of each poll,
     * even if the list has not changed.
     */
    POLLED
}
