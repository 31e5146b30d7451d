package loadbalancer.proxy.testing;

import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * An HTTP server on an ephemeral loopback port that answers each request as its script says: an endpoint or discovery.
 * Each connection has a thread of its own, so a script may block. Closing it closes its connections.
 */
public final class StubServer implements AutoCloseable {
    /** Handles one request on the thread of its connection; where it writes nothing the sender is left waiting. */
    public interface Script {
        void handle(Message request, Connection connection) throws IOException;
    }

    /** Answers every request with 200 and this body. */
    public static Script respondingWith(String body) {
        return (request, connection) -> connection.respond("200 OK", "", body);
    }

    /** Answers every request with 200 and the request's identifier as the body. */
    public static Script echoingRequestId() {
        return (request, connection) -> connection.respond("200 OK", "", request.header("X-Txn"));
    }

    /** Blocks the script of a connection for a time. */
    public static void sleep(long millis) throws InterruptedIOException {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new InterruptedIOException();
        }
    }

    /** Blocks the script of a connection until the latch is released. */
    public static void awaitLatch(CountDownLatch latch) throws InterruptedIOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new InterruptedIOException();
        }
    }

    /** A request or response as it was received. */
    public record Message(String head, String body) {
        public String path() {
            return head.split(" ")[1];
        }

        /** The value of the header, whose name is compared without case; null where there is no such header. */
        public String header(String name) {
            return head.lines()
                    .skip(1)
                    .filter(line -> line.toLowerCase().startsWith(name.toLowerCase() + ":"))
                    .map(line -> line.substring(name.length() + 1).trim())
                    .findFirst()
                    .orElse(null);
        }
    }

    /** The server's side of one connection. */
    public record Connection(Socket socket) {
        public void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
        }

        public void respond(String status, String headers, String body) throws IOException {
            write("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body);
        }

        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    public final BlockingQueue<Message> messages = new LinkedBlockingQueue<>();
    public final BlockingQueue<Socket> accepted = new LinkedBlockingQueue<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final ServerSocket server;
    private final Thread acceptor;
    public volatile Script script;

    public StubServer(Script script) throws IOException {
        this.script = script;
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        acceptor = startDaemon(this::accept);
    }

    private static Thread startDaemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** The next request; fails after 20 s. */
    public Message next() throws InterruptedException {
        Message request = messages.poll(20, TimeUnit.SECONDS);
        if (request == null) {
            throw new AssertionError("no request was received");
        }
        return request;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                sockets.add(socket);
                accepted.add(socket);
                startDaemon(() -> serve(socket));
            }
        } catch (IOException e) {
            // The server is closed.
        }
    }

    private void serve(Socket socket) {
        try {
            for (Message request; (request = read(socket.getInputStream())) != null; ) {
                messages.add(request);
                script.handle(request, new Connection(socket));
            }
        } catch (IOException e) {
            // The connection is closed.
        }
    }

    /** One HTTP message with a body of its stated length; null where the stream ends before one. */
    static Message read(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int character = in.read();
            if (character < 0) {
                return null;
            }
            head.append((char) character);
        }
        Message message = new Message(head.toString(), "");
        String length = message.header("Content-Length");
        byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
        return new Message(message.head, new String(body, StandardCharsets.ISO_8859_1));
    }

    /**
     * Once it returns, the port refuses connections and every connection that was accepted is closed. Closing the
     * listener is not enough for that: the accepting thread may still be inside the kernel's accept() and take one more
     * connection, which would be served and never closed. So this waits for that thread to end; it fails after 20 s.
     */
    @Override
    public void close() throws IOException {
        server.close();
        try {
            acceptor.join(20_000);
            if (acceptor.isAlive()) {
                throw new AssertionError("the accepting thread did not end");
            }
        } catch (InterruptedException e) {
            throw new InterruptedIOException();
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    /** A client's connection to a sidecar. */
    public static final class Client implements AutoCloseable {
        public final Socket socket;

        public Client(InetSocketAddress address) throws IOException {
            socket = new Socket(address.getAddress(), address.getPort());
            socket.setSoTimeout(20_000);
        }

        public Client send(String text) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            return this;
        }

        /** The next response; null where the connection is closed without one. */
        public Message readResponse() throws IOException {
            return read(socket.getInputStream());
        }

        /** Waits until the sidecar has closed the connection; false where it sends something first. */
        public boolean isClosedBySidecar() throws IOException {
            try {
                return socket.getInputStream().read() < 0;
            } catch (SocketException e) {
                // Reset, as it was closed with unread bytes of this client.
                return true;
            }
        }

        /** The status of the next response; -1 where the connection is closed without one. */
        public int status() throws IOException {
            Message response = readResponse();
            return response == null ? -1 : Integer.parseInt(response.head.split(" ")[1]);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
