package loadbalancer.proxy.lifecycle;

/**
 * How the file descriptors of the process are divided. Connections to endpoints may use the descriptors that clients do
 * not; when clients need these, idle connections to endpoints are closed.
 *
 * @param maxConnections most connections of clients and to endpoints together
 * @param maxClientConnections most connections of clients
 * @param maxIdleClientConnections most connections of clients that are kept open between two requests
 */
record DescriptorBudget(int maxConnections, int maxClientConnections, int maxIdleClientConnections) {
    /** Reserved for descriptors that are not connections: files, listeners and the selector. */
    private static final int RESERVED_DESCRIPTORS = 48;

    private static final int MIN_CONNECTIONS = 32;

    static DescriptorBudget of(int descriptorLimit) {
        int maxConnections = Math.max(MIN_CONNECTIONS, descriptorLimit - RESERVED_DESCRIPTORS);
        // The application may use a third of all descriptors for its requests, in addition to silent connections. If
        // far fewer were left for endpoints, most requests would have to open a connection first.
        int maxClientConnections = maxConnections * 5 / 8;
        // A quarter of that third; the rest is for requests in progress.
        int maxIdleClientConnections = descriptorLimit / 12;
        return new DescriptorBudget(maxConnections, maxClientConnections, maxIdleClientConnections);
    }
}
