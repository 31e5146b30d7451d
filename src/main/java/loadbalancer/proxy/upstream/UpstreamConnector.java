package loadbalancer.proxy.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import java.net.InetSocketAddress;
import java.util.function.IntSupplier;
import loadbalancer.proxy.eventloop.ClientBootstraps;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import loadbalancer.proxy.memory.MessageMemory;
import loadbalancer.proxy.observability.TrafficStatistics;

/**
 * Opens connections to endpoints and counts the connections that are open or being opened. Confined to the event loop
 * of the pool.
 */
final class UpstreamConnector {
    /** Replaced by {@link #updateTimeouts} before the first connection is opened. */
    private static final int INITIAL_CONNECT_TIMEOUT_MILLIS = 1;

    private final Bootstrap bootstrap;
    /** Returns how many connections the available file descriptors allow. */
    private final IntSupplier maxConnections;

    private final TrafficStatistics statistics;
    private long stallTimeoutMicros;
    private int openConnectionCount;

    UpstreamConnector(
            ReadTrackingEventLoop loop,
            IntSupplier maxConnections,
            TrafficStatistics statistics,
            MessageMemory messageMemory) {
        this.maxConnections = maxConnections;
        this.statistics = statistics;
        bootstrap = ClientBootstraps.tcp(
                loop,
                INITIAL_CONNECT_TIMEOUT_MILLIS,
                channel -> UpstreamConnection.install(channel, stallTimeoutMicros, messageMemory));
    }

    /** Applies new timeouts to connections that are opened from now on. */
    void updateTimeouts(UpstreamTimeouts timeouts) {
        stallTimeoutMicros = timeouts.stallTimeoutMicros();
        bootstrap.option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, timeouts.connectTimeoutMicros() / 1000));
    }

    int openConnectionCount() {
        return openConnectionCount;
    }

    /** Returns whether one more connection may be opened. */
    boolean canOpenConnection() {
        return openConnectionCount < maxConnections.getAsInt();
    }

    ChannelFuture connect(InetSocketAddress address) {
        openConnectionCount++;
        statistics.upstreamConnectionOpened();
        ChannelFuture connectFuture = bootstrap.connect(address);
        connectFuture.addListener(connected -> {
            if (connected.isSuccess()) {
                connectFuture.channel().closeFuture().addListener(closed -> openConnectionCount--);
            } else {
                // The close future may never complete here. If no file descriptor was free, there is no socket to
                // close.
                openConnectionCount--;
            }
        });
        return connectFuture;
    }
}
