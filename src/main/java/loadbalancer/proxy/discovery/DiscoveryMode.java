package loadbalancer.proxy.discovery;

/**
 * Determines whether the sidecar or the load balancer starts the first call to discovery, and the next call after a
 * failed one. In both modes the sidecar starts the next call after a successful one.
 */
public enum DiscoveryMode {
    /** The sidecar starts all calls, the first one at its own start; the load balancer never polls. */
    PUSHED,
    /**
     * The load balancer starts the first call, and the next call after a failed one, by polling. It is notified of the
     * result of each poll, even if the list has not changed.
     */
    POLLED
}
