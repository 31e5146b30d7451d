package loadbalancer.proxy.lifecycle;

import loadbalancer.proxy.observability.NettyLoggerFactory;

/**
 * Settings of Netty and of the JDK's sockets that save processor time at a start. All are documented system properties;
 * one that the command line sets keeps its value.
 */
final class NettyEnvironment {
    private NettyEnvironment() {}

    /** Must be called before the first class of Netty and the first socket class of the JDK are used. */
    static void prepare() {
        // Netty's Flight Recorder events start that recorder: a fifth of a start's processor time.
        setIfAbsent("io.netty.jfr.enabled", "false");
        // Parts of channel identifiers, unused here; by default all network interfaces are enumerated for them.
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
