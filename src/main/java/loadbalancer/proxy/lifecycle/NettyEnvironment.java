package loadbalancer.proxy.lifecycle;

import loadbalancer.proxy.observability.NettyLoggerFactory;

/**
 * System properties of Netty and the JDK that save processor time at the start. Properties set on the command line are
 * not changed.
 */
final class NettyEnvironment {
    private NettyEnvironment() {}

    /** Must be called before any class of Netty or any socket class of the JDK is used. */
    static void prepare() {
        // Netty's Flight Recorder events would initialize the recorder, a fifth of the start's processor time.
        setIfAbsent("io.netty.jfr.enabled", "false");
        // These become parts of channel ids, which are not used here. By default Netty enumerates all network
        // interfaces to derive them.
        setIfAbsent("io.netty.machineId", "00:00:00:00:00:01");
        setIfAbsent("io.netty.processId", "1");
        // All addresses are IPv4; by default dual-stack sockets are tried first.
        setIfAbsent("java.net.preferIPv4Stack", "true");
        NettyLoggerFactory.install();
    }

    private static void setIfAbsent(String property, String value) {
        if (System.getProperty(property) == null) {
            System.setProperty(property, value);
        }
    }
}
