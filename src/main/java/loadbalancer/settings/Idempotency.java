package loadbalancer.settings;

/** Defines whether endpoints may execute a request more than once. */
public enum Idempotency {
    /** The request may be retried on any endpoint at any time. */
    IDEMPOTENT,
    /** The request may be retried within its {@link DeduplicationScope} and deduplication window. */
    IDEMPOTENT_WITH_KEY,
    /** The request may be retried only if it is certain that no endpoint has executed it. */
    NOT_IDEMPOTENT
}
