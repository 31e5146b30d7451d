package loadbalancer.soak;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Loopback addresses that no other sidecar of this process has, so that a sidecar that restarts finds its ports free: a
 * port of 127.0.0.1 may be taken in the meantime by an outgoing connection. Thread-safe.
 */
final class LoopbackAddresses {
    private static final int ADDRESSES_PER_BYTE = 250;
    private static final int PORT = 8081;
    private static final AtomicInteger COUNT = new AtomicInteger();

    private LoopbackAddresses() {}

    /** Returns a host in 127.0.0.0/8. The second byte tells concurrent processes apart. */
    static String newHost() {
        int number = COUNT.getAndIncrement();
        long process = ProcessHandle.current().pid() % ADDRESSES_PER_BYTE + 2;
        return "127." + process + "." + number / ADDRESSES_PER_BYTE % ADDRESSES_PER_BYTE + "."
                + (number % ADDRESSES_PER_BYTE + 1);
    }

    static InetSocketAddress socketAddress(String host) {
        return new InetSocketAddress(host, PORT);
    }

    static String text(String host) {
        return host + ":" + PORT;
    }
}
