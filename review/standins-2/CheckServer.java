import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A check server: listens on a free port of a loopback address and gives each request to a behavior. */
final class CheckServer {
    /** What the server does with a request. Runs on the thread of the connection. */
    @FunctionalInterface
    interface Behavior {
        /** Answers on the socket. Returns false if the connection ends with this answer. */
        boolean answer(Http.Message request, Socket socket) throws Exception;
    }

    final String id;
    private final ServerSocket listener;
    private final Record record;
    private final Behavior behavior;

    CheckServer(String id, Record record, Behavior behavior) throws IOException {
        this.id = id;
        this.record = record;
        this.behavior = behavior;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
        Threads.start("check server " + id, this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                Threads.start("connection of " + id, () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                record.line(id + " runs " + request.header("X-Txn"));
                if (!behavior.answer(request, socket)) {
                    return;
                }
            }
        } catch (Exception e) {
            record.line(id + " connection ended: " + e);
        }
    }

    /** Writes a whole 200 answer with a length. */
    static boolean answerOk(Socket socket, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        OutputStream out = socket.getOutputStream();
        out.write(join("HTTP/1.1 200 OK\r\nContent-Length: " + bytes.length + "\r\n\r\n", bytes));
        out.flush();
        return true;
    }

    static byte[] join(String head, byte[] body) {
        byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] whole = new byte[start.length + body.length];
        System.arraycopy(start, 0, whole, 0, start.length);
        System.arraycopy(body, 0, whole, start.length, body.length);
        return whole;
    }
}
