package loadbalancer.proxy.lifecycle;

/**
 * Limits on open connections, derived from the file descriptor limit of the process. Upstream connections may use every
 * descriptor that client connections do not use; when a client connection needs one, an idle upstream connection is
 * closed.
 *
 * @param maxConnections maximum number of client and upstream connections together
 * @param maxClientConnections maximum number of client connections
 * @param maxIdleClientConnections maximum number of client connections that are kept open between two requests
 */
record DescriptorBudget(int maxConnections, int maxClientConnections, int maxIdleClientConnections) {
    /**
     * Descriptors for everything but client and upstream connections: files, the selector, the listening sockets and
     * the connection to discovery.
     */
    private static final int RESERVED_DESCRIPTORS = 48;

    /** Lower bound of {@code maxConnections}, however low the descriptor limit is. */
    private static final int MIN_CONNECTIONS = 32;

    static DescriptorBudget of(int descriptorLimit) {
        int maxConnections = Math.max(MIN_CONNECTIONS, descriptorLimit - RESERVED_DESCRIPTORS);
        // The application may use a third of all descriptors for connections that send requests, and further ones for
        // connections that send nothing. The remaining three eighths are for upstream connections: with far fewer, most
        // requests would first have to open an upstream connection.
        int maxClientConnections = maxConnections * 5 / 8;
        // A quarter of that third of all descriptors. Its other three quarters are for connections with a request in
        // progress.
        int maxIdleClientConnections = descriptorLimit / 12;
        return new DescriptorBudget(maxConnections, maxClientConnections, maxIdleClientConnections);
    }
}
