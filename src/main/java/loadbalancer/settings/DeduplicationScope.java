package loadbalancer.settings;

/** Which upstreams drop repeats of a keyed request. */
public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL
}
