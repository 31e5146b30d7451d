package loadbalancer.settings;

/**
 * Which endpoints share their memory of idempotency keys. A retry of a request that may have run is harmless only
 * within the scope of the endpoint that may have run it, since only there a repeated key is dropped.
 */
public enum DeduplicationScope {
    /** Every endpoint. */
    ALL,
    /** The endpoints of one zone. */
    ZONE,
    /** The endpoints of one cell. */
    CELL
}
