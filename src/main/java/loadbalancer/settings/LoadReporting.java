package loadbalancer.settings;

/** Defines when endpoints send load reports. */
public enum LoadReporting {
    /** Never: load is estimated from the sidecar's own requests and from gossip. */
    NONE,
    /** With each response and with each reply to a health check. */
    INLINE,
    /** With each reply to a health check. */
    ON_HEALTH_CHECK
}
