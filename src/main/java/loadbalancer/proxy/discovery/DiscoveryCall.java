package loadbalancer.proxy.discovery;

import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;

/** One call to discovery, on a connection of its own until its response is complete. Compared by identity. */
final class DiscoveryCall {
    final String requestTarget;
    Channel connection;
    /** Times the call out, or closes it for good once it is overdue. */
    Future<?> timer;
    /** Whether the address of discovery has changed since this call was started. */
    boolean toPreviousAddress;

    DiscoveryCall(String requestTarget) {
        this.requestTarget = requestTarget;
    }

    /** Ends the call without a response and closes its connection. */
    void abandon() {
        timer.cancel(false);
        // If no socket could be opened, Netty's placeholder for the channel throws an exception when it is closed.
        if (connection.isRegistered()) {
            connection.close();
        }
    }
}
