package loadbalancer.proxy.observability;

import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;

/**
 * Creates loggers that write Netty's warnings and errors to {@link SidecarLog}. Without this factory, Netty would
 * search the class path for three logging libraries at each start and then initialize the logging of the JDK.
 */
public final class NettyLoggerFactory extends InternalLoggerFactory {
    /** Makes Netty use this factory. Must be called before any class of Netty is used. */
    public static void install() {
        InternalLoggerFactory.setDefaultFactory(new NettyLoggerFactory());
    }

    @Override
    protected InternalLogger newInstance(String name) {
        return new NettyLogger(name);
    }
}
