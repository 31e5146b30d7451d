package loadbalancer.settings;

/**
 * Which endpoints share one store of idempotency keys. A retry of a request that may have run is safe only on an
 * endpoint in the same scope as the one that may have run it, because only that scope drops the repeated key.
 */
public enum DeduplicationScope {
    /** Every endpoint. */
    ALL,
    /** The endpoints of one zone. */
    ZONE,
    /** The endpoints of one cell. */
    CELL
}
