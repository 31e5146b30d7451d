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
 * An HTTP server on an ephemeral loopback port that passes each request to its handler. It acts as an endpoint or as
 * discovery. Each connection has a thread of its own, so a handler may block. Closing the server closes its
 * connections.
 */
public final class StubServer implements AutoCloseable {
    /** Handles one request on the thread of its connection. The client gets no response if the handler writes none. */
    public interface RequestHandler {
        void handle(Message request, Connection connection) throws IOException;
    }

    /** Returns a handler that answers each request with status 200 and the given body. */
    public static RequestHandler respondingWith(String body) {
        return (request, connection) -> connection.respond("200 OK", "", body);
    }

    /** Returns a handler that answers each request with status 200 and its request id as the body. */
    public static RequestHandler echoingRequestId() {
        return (request, connection) -> connection.respond("200 OK", "", request.header("X-Txn"));
    }

    /** Blocks a handler for the given time. */
    public static void sleep(long millis) throws InterruptedIOException {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new InterruptedIOException();
        }
    }

    /** Blocks a handler until the latch has counted down to zero. */
    public static void awaitLatch(CountDownLatch latch) throws InterruptedIOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new InterruptedIOException();
        }
    }

    /** A received request or response; {@code head} contains the start line and the headers. */
    public record Message(String head, String body) {
        /** Returns the request target, that is, the path and the query. Must be called only on a request. */
        public String path() {
            return head.split(" ")[1];
        }

        /** Returns the value of the header, or null if there is none. The case of the name does not matter. */
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

    /** The requests received so far; {@link #nextRequest} removes the first of them. */
    public final BlockingQueue<Message> receivedRequests = new LinkedBlockingQueue<>();
    /** The sockets of the connections accepted so far. */
    public final BlockingQueue<Socket> acceptedSockets = new LinkedBlockingQueue<>();

    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final ServerSocket server;
    private final Thread acceptor;
    /** Handles each request; a test may replace it while the server runs. */
    public volatile RequestHandler handler;

    public StubServer(RequestHandler handler) throws IOException {
        this.handler = handler;
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

    /** Removes and returns the next received request; fails after 20 s. */
    public Message nextRequest() throws InterruptedException {
        Message request = receivedRequests.poll(20, TimeUnit.SECONDS);
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
                acceptedSockets.add(socket);
                startDaemon(() -> serve(socket));
            }
        } catch (IOException e) {
            // The server is closed.
        }
    }

    private void serve(Socket socket) {
        try {
            for (Message request; (request = readMessage(socket.getInputStream())) != null; ) {
                receivedRequests.add(request);
                handler.handle(request, new Connection(socket));
            }
        } catch (IOException e) {
            // The connection is closed.
        }
    }

    /** Reads one HTTP message, whose body has the length stated in its head; null if the stream ends in the head. */
    static Message readMessage(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int character = in.read();
            if (character < 0) {
                return null;
            }
            head.append((char) character);
        }
        Message message = new Message(head.toString(), "");
        String contentLength = message.header("Content-Length");
        byte[] body = in.readNBytes(contentLength == null ? 0 : Integer.parseInt(contentLength));
        return new Message(message.head, new String(body, StandardCharsets.ISO_8859_1));
    }

    /**
     * Closes the listener and all accepted connections. After the return, the port refuses connections. Closing the
     * listener alone is not enough: the accepting thread may still be inside the kernel's accept() and accept one more
     * connection, which would be served and never closed. Therefore this method waits for the thread to end, and fails
     * after 20 s.
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

    /** A client's connection to a sidecar. Each read fails after 20 s. */
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

        /** Reads the next response; null if the connection is closed before it. */
        public Message readResponse() throws IOException {
            return readMessage(socket.getInputStream());
        }

        /** Waits until the sidecar closes the connection; returns false if the sidecar sends data instead. */
        public boolean isClosedBySidecar() throws IOException {
            try {
                return socket.getInputStream().read() < 0;
            } catch (SocketException e) {
                // The connection was reset, because the sidecar closed it with unread bytes of this client.
                return true;
            }
        }

        /** Reads the next response and returns its status; -1 if the connection is closed before the response. */
        public int readStatus() throws IOException {
            Message response = readResponse();
            return response == null ? -1 : Integer.parseInt(response.head.split(" ")[1]);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
