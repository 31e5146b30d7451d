package loadbalancer.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;

/** Asks a sidecar for its readiness until it is ready or its process is replaced. */
final class ReadinessProbe {
    private static final int TIMEOUT_MILLIS = 1_000;
    private static final long INTERVAL_MILLIS = 30;
    private static final byte[] REQUEST =
            "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private ReadinessProbe() {}

    /** Starts asking on a thread of its own; {@code onReady} runs on the event loop. */
    static void start(SoakContext context, InetSocketAddress address, BooleanSupplier isCurrent, Runnable onReady) {
        Thread thread = new Thread(
                () -> {
                    if (awaitReady(address, isCurrent)) {
                        context.loop().execute(onReady);
                    }
                },
                "readiness");
        thread.setDaemon(true);
        thread.start();
    }

    private static boolean awaitReady(InetSocketAddress address, BooleanSupplier isCurrent) {
        while (isCurrent.getAsBoolean()) {
            if (isReady(address)) {
                return true;
            }
            try {
                Thread.sleep(INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                return false;
            }
        }
        return false;
    }

    private static boolean isReady(InetSocketAddress address) {
        try (Socket socket = new Socket()) {
            socket.connect(address, TIMEOUT_MILLIS);
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.getOutputStream().write(REQUEST);
            String start = new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
            return start.equals("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }
}
