package loadbalancer.decision;

/** How much room an endpoint needs to be drawn. */
enum RoomNeeded {
    /** A core that is not at work. */
    FREE_CORE,
    /** Fewer requests than the most that it should hold, and an answer in time. */
    BELOW_LIMIT
}
