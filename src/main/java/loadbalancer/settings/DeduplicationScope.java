package loadbalancer.settings;

/**
 * The set of endpoints that share one store of idempotency keys. If an endpoint may have executed an attempt, a retry
 * is safe only on an endpoint of the same scope, because only endpoints of that scope recognize the repeated key.
 */
public enum DeduplicationScope {
    /** All endpoints share one store. */
    ALL,
    /** The endpoints of each zone share one store. */
    ZONE,
    /** The endpoints of each cell share one store. */
    CELL,
    /** The settings don't say it, so only the endpoint itself is known to recognize a key. */
    UNSTATED
}
