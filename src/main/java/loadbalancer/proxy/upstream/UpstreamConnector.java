package loadbalancer.proxy.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.function.IntSupplier;
import loadbalancer.proxy.eventloop.ClientBootstraps;
import loadbalancer.proxy.observability.TrafficStatistics;

/**
 * Opens connections to endpoints, and counts those that are open or being opened. Confined to the event loop of the
 * pool.
 */
final class UpstreamConnector {
    /** Replaced by {@link #updateTimeouts} before the first connection. */
    private static final int INITIAL_CONNECT_TIMEOUT_MILLIS = 1;

    private final Bootstrap bootstrap;
    /** How many connections the descriptors allow at the moment. */
    private final IntSupplier maxConnections;

    private final TrafficStatistics statistics;
    private long stallMicros;
    private int openConnections;

    UpstreamConnector(EventLoop loop, IntSupplier maxConnections, TrafficStatistics statistics) {
        this.maxConnections = maxConnections;
        this.statistics = statistics;
        bootstrap = ClientBootstraps.tcp(
                loop, INITIAL_CONNECT_TIMEOUT_MILLIS, channel -> UpstreamConnection.install(channel, stallMicros));
    }

    /** Applies to connections that are opened from now on. */
    void updateTimeouts(UpstreamTimeouts timeouts) {
        stallMicros = timeouts.stallMicros();
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, timeouts.connectMicros() / 1000));
    }

    int openConnections() {
        return openConnections;
    }

    /** Whether one more connection may be opened. */
    boolean hasRoom() {
        return openConnections < maxConnections.getAsInt();
    }

    ChannelFuture connect(InetSocketAddress address) {
        openConnections++;
        statistics.upstreamConnectionOpened();
        ChannelFuture connecting = bootstrap.connect(address);
        connecting.addListener(connected -> {
            if (connected.isSuccess()) {
                connecting.channel().closeFuture().addListener(closed -> openConnections--);
            } else {
                // The close future may never complete here: without a free descriptor there is no socket to close.
                openConnections--;
            }
        });
        return connecting;
    }
}
