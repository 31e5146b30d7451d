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
    /** Descriptors that are not available for connections: files, listening sockets and the selector use them. */
    private static final int RESERVED_DESCRIPTORS = 48;

    private static final int MIN_CONNECTIONS = 32;

    static DescriptorBudget of(int descriptorLimit) {
        int maxConnections = Math.max(MIN_CONNECTIONS, descriptorLimit - RESERVED_DESCRIPTORS);
        // The application may use a third of all descriptors for its requests, in addition to connections that send
        // nothing. With far fewer descriptors for upstream connections, most requests would have to open one first.
        int maxClientConnections = maxConnections * 5 / 8;
        // A quarter of that third; the other three quarters are for connections with a request in progress.
        int maxIdleClientConnections = descriptorLimit / 12;
        return new DescriptorBudget(maxConnections, maxClientConnections, maxIdleClientConnections);
    }
}
