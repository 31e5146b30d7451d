package loadbalancer.proxy.lifecycle;

import loadbalancer.proxy.observability.NettyLoggerFactory;

/**
 * Sets system properties of Netty and the JDK that reduce the processor time of startup, and Netty's logger. Properties
 * that are set on the command line keep their values.
 */
final class NettyEnvironment {
    private NettyEnvironment() {}

    /** Sets the properties and the logger. Must be called before any Netty class or JDK socket class is used. */
    static void prepare() {
        // Netty's Flight Recorder events would initialize the recorder, which takes a fifth of the processor time of
        // startup.
        setIfAbsent("io.netty.jfr.enabled", "false");
        // These two values become parts of Netty's channel ids, which the sidecar does not use. By default Netty
        // derives the machine id by enumerating all network interfaces.
        setIfAbsent("io.netty.machineId", "00:00:00:00:00:01");
        setIfAbsent("io.netty.processId", "1");
        // All addresses are IPv4; by default the JDK tries dual-stack sockets first.
        setIfAbsent("java.net.preferIPv4Stack", "true");
        NettyLoggerFactory.install();
    }

    private static void setIfAbsent(String property, String value) {
        if (System.getProperty(property) == null) {
            System.setProperty(property, value);
        }
    }
}
