package loadbalancer.proxy.discovery;

/** Who starts the calls to discovery. */
public enum DiscoveryMode {
    /** The sidecar watches the list from its start on; the decision module never polls. */
    PUSHED,
    /** The first call is made when the decision module polls; it is notified of the result in any case. */
    POLLED
}
