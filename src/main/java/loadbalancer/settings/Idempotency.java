package loadbalancer.settings;

/** Whether a request may be run more than once. */
public enum Idempotency {
    /** It may be retried at any endpoint at any time. */
    IDEMPOTENT,
    /** It may be retried within its {@link DeduplicationScope} and deduplication window. */
    IDEMPOTENT_WITH_KEY,
    /** It may be retried only if every earlier attempt provably never ran. */
    NOT_IDEMPOTENT
}
