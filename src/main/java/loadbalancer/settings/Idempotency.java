package loadbalancer.settings;

/** May a request be repeated: always, with its key within a window, or never. */
public enum Idempotency {
    IDEMPOTENT,
    IDEMPOTENT_WITH_KEY,
    NOT_IDEMPOTENT
}
