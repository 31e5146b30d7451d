package loadbalancer.decision;

/** The spare capacity that an endpoint must have to take a request. */
enum CapacityRequirement {
    /** At least one core must be free. */
    FREE_CORE,
    /** The load must be below the load limit, and the response must be expected in time unless the endpoint is idle. */
    BELOW_LIMIT
}
