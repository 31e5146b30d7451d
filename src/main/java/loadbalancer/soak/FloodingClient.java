package loadbalancer.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * One client that sends small requests on one connection as fast as the sidecar answers them. None of them reaches an
 * endpoint; each has a path and an id that no other one has. Blocks its thread.
 */
final class FloodingClient {
    private static final int REQUESTS_PER_BATCH = 100;
    private static final int READ_TIMEOUT_MILLIS = 500;
    private static final int BUFFER_BYTES = 64 * 1024;
    private static final String RESPONSE_START = "HTTP/1.1 ";

    private FloodingClient() {}

    /** Floods for this time, or until the sidecar closes the connection. */
    static void run(InetSocketAddress address, long durationMicros) {
        long endNanos = System.nanoTime() + durationMicros * 1_000;
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            for (int batch = 0; System.nanoTime() < endNanos; batch++) {
                socket.getOutputStream().write(batch(batch));
                awaitResponses(socket);
            }
        } catch (IOException e) {
            // The sidecar has closed the connection, does not listen or answers no longer.
            return;
        }
    }

    private static byte[] batch(int batch) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < REQUESTS_PER_BATCH; i++) {
            String name = batch + "-" + i;
            text.append("GET /unknown-")
                    .append(name)
                    .append(" HTTP/1.1\r\nHost: api\r\nX-Txn: flood-")
                    .append(name);
            text.append(i % 2 == 0 ? "\r\n\r\n" : "\r\nExpect: unknown\r\nContent-Length: 0\r\n\r\n");
        }
        return text.toString().getBytes(StandardCharsets.US_ASCII);
    }

    private static void awaitResponses(Socket socket) throws IOException {
        byte[] buffer = new byte[BUFFER_BYTES];
        for (int responses = 0; responses < REQUESTS_PER_BATCH; ) {
            int length = socket.getInputStream().read(buffer);
            if (length < 0) {
                throw new IOException("the sidecar has closed the connection");
            }
            String text = new String(buffer, 0, length, StandardCharsets.US_ASCII);
            responses += text.split(RESPONSE_START, -1).length - 1;
        }
    }
}
