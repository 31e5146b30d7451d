package loadbalancer.proxy.testing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;

/** Clients that connect to a sidecar, send bytes and stay without reading. Used by one thread. */
public final class BadClients implements AutoCloseable {
    private static final int RECEIVE_BUFFER_BYTES = 4_096;
    private static final long POLL_INTERVAL_MILLIS = 20;

    private final List<SocketChannel> channels = new ArrayList<>();

    public BadClients(InetSocketAddress address, int count) throws IOException {
        for (int i = 0; i < count; i++) {
            SocketChannel channel = SocketChannel.open();
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
            channel.connect(address);
            channel.configureBlocking(false);
            channels.add(channel);
        }
    }

    /** Sends a text from each client; what a socket does not take at once is not sent. Ignores closed connections. */
    public void send(IntFunction<String> textOfClient) {
        for (int i = 0; i < channels.size(); i++) {
            try {
                channels.get(i).write(ByteBuffer.wrap(textOfClient.apply(i).getBytes(StandardCharsets.ISO_8859_1)));
            } catch (IOException e) {
                // The sidecar has closed the connection.
            }
        }
    }

    /** Sends the same text from each client. */
    public void send(String text) {
        send(client -> text);
    }

    /** Waits until each client has received a byte or a close, for {@code maxMillis}; returns how many have not. */
    public int awaitErrorOrClose(long maxMillis) throws InterruptedException {
        List<SocketChannel> waiting = new ArrayList<>(channels);
        long deadlineNanos = System.nanoTime() + maxMillis * 1_000_000;
        while (!waiting.isEmpty() && System.nanoTime() < deadlineNanos) {
            waiting.removeIf(BadClients::hasErrorOrClose);
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        return waiting.size();
    }

    private static boolean hasErrorOrClose(SocketChannel channel) {
        try {
            return channel.read(ByteBuffer.allocate(1)) != 0;
        } catch (IOException e) {
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        for (SocketChannel channel : channels) {
            channel.close();
        }
    }
}
