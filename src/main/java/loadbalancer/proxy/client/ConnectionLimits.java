package loadbalancer.proxy.client;

import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

/**
 * Limits on the connections of clients.
 *
 * @param maxConnections maximum number of open connections; further ones wait in the accept backlog
 * @param maxIdleConnections maximum number of connections that are kept open between two requests
 * @param freeDescriptors returns how many file descriptors are free for connections; called on the event loop
 * @param descriptorAvailable returns whether there is a file descriptor for one more connection, and may close an idle
 *     upstream connection to free one; called on the event loop
 */
public record ConnectionLimits(
        int maxConnections, int maxIdleConnections, IntSupplier freeDescriptors, BooleanSupplier descriptorAvailable) {}
