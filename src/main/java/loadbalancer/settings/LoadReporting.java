package loadbalancer.settings;

/** How upstreams tell their load: not at all, with each answer, or when asked. */
public enum LoadReporting {
    NONE,
    INLINE,
    ON_HEALTH_CHECK
}
