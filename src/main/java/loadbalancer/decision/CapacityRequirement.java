package loadbalancer.decision;

/** The spare capacity that an endpoint must have to take a request. */
enum CapacityRequirement {
    /** At least one core must be free. */
    FREE_CORE,
    /**
     * The load including the request must not exceed the load limit ({@link LoadEstimator#maxLoad}), and the response
     * must be expected in time. The latter is not required of an endpoint that is known to be idle and is not in slow
     * start.
     */
    BELOW_LIMIT
}
