package loadbalancer.proxy.observability;

import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;

/**
 * Sends Netty's warnings and errors to {@link SidecarLog}. Without it, Netty would search the class path for three
 * logging libraries at each start, and then initialize the JDK's.
 */
public final class NettyLoggerFactory extends InternalLoggerFactory {
    /** Must be called before any class of Netty is used. */
    public static void install() {
        InternalLoggerFactory.setDefaultFactory(new NettyLoggerFactory());
    }

    @Override
    protected InternalLogger newInstance(String name) {
        return new NettyLogger(name);
    }
}
