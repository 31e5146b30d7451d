package loadbalancer.decision;

/** How much room an endpoint needs to be drawn. */
enum RoomNeeded {
    /** A core that runs no request. */
    FREE_CORE,
    /** Fewer requests than its load limit, and a response expected in time. */
    BELOW_LIMIT
}
