package loadbalancer.proxy.lifecycle;

/**
 * How the file descriptors of the process are divided. Descriptors that clients leave unused are for connections to
 * upstreams, whose idle connections are closed when clients need the room.
 *
 * @param maxConnections most connections of clients and to upstreams together
 * @param maxClientConnections most connections of clients
 * @param maxIdleClientConnections most connections of clients that are kept open between two requests
 */
record DescriptorBudget(int maxConnections, int maxClientConnections, int maxIdleClientConnections) {
    /** For what is no connection: files, the listeners and the selector. */
    private static final int RESERVED_DESCRIPTORS = 48;

    private static final int MIN_CONNECTIONS = 32;

    static DescriptorBudget of(int descriptorLimit) {
        int maxConnections = Math.max(MIN_CONNECTIONS, descriptorLimit - RESERVED_DESCRIPTORS);
        // The application may hold a third of all for its requests, and silent connections come on top. With much less
        // left for upstreams most requests would begin with a handshake.
        int maxClientConnections = maxConnections * 5 / 8;
        // A quarter of that third: the rest is for requests in progress.
        int maxIdleClientConnections = descriptorLimit / 12;
        return new DescriptorBudget(maxConnections, maxClientConnections, maxIdleClientConnections);
    }
}
