package loadbalancer.proxy.eventloop;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.function.Supplier;
import loadbalancer.proxy.observability.SidecarLog;

/**
 * Binds listening sockets. Repeats a failed bind for a few seconds, because the system may be short of a resource for a
 * moment, or a previous process may not have released its address yet. Stateless.
 */
public final class SocketBinding {
    static final int MAX_ATTEMPTS = 30;
    private static final long RETRY_DELAY_MILLIS = 100;

    private SocketBinding() {}

    /**
     * Calls {@code bind} until the bind succeeds, at most {@link #MAX_ATTEMPTS} times, and returns the bound channel.
     * Blocks, so it must not be called on the event loop. Throws the exception of the last attempt, which may be a
     * checked one that is not declared.
     */
    public static Channel bind(Supplier<ChannelFuture> bind) throws InterruptedException {
        for (int attempt = 1; attempt < MAX_ATTEMPTS; attempt++) {
            ChannelFuture future = bind.get().await();
            if (future.isSuccess()) {
                return future.channel();
            }
            if (attempt == 1) {
                SidecarLog.info("bind_failed error=" + SidecarLog.quote(future.cause()));
            }
            Thread.sleep(RETRY_DELAY_MILLIS);
        }
        return bind.get().sync().channel();
    }
}
