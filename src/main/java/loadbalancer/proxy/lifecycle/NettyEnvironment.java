package loadbalancer.proxy.lifecycle;

import loadbalancer.proxy.observability.NettyLoggerFactory;

/**
 * What Netty and the JDK's sockets would find out by themselves at a start, at a cost, and what a sidecar has no use
 * for. All by documented system properties, which hold where the command line has not set them.
 */
final class NettyEnvironment {
    private NettyEnvironment() {}

    /** To be called before Netty's first class, or the JDK's first socket class, is used. */
    static void prepare() {
        // Netty's events for Flight Recorder start that recorder, a fifth of a start's processor time.
        set("io.netty.jfr.enabled", "false");
        // Both are parts of channels' ids, which nobody reads here: else all network interfaces are enumerated.
        set("io.netty.machineId", "00:00:00:00:00:01");
        set("io.netty.processId", "1");
        // All addresses are IPv4: sockets for both would be tried first.
        set("java.net.preferIPv4Stack", "true");
        NettyLoggerFactory.install();
    }

    private static void set(String property, String value) {
        if (System.getProperty(property) == null) {
            System.setProperty(property, value);
        }
    }
}
