import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A client sends many commands at once on one connection, and reads the answers. */
final class ManyCommands extends Case {
    private static final int REQUESTS = 40;
    private static final int BODY_BYTES = 60_000;
    private static final long REMAINING_MILLIS = 1100;

    private final AtomicInteger written = new AtomicInteger();
    private int answers;

    @Override
    List<String> play() throws Exception {
        Discovery discovery = new Discovery(record);
        for (int i = 0; i < 8; i++) {
            discovery.add(new CheckServer("s-" + i, record, this::answer), 1, 0);
        }
        Sidecar sidecar = new Sidecar(root, temporary, record);
        sidecar.configure(discovery.address(), discovery.wholeList());
        sidecar.start();
        try {
            sidecar.awaitReady();
            Thread.sleep(1000);
            try (Socket socket = sidecar.connect()) {
                exchange(socket);
            }
        } finally {
            sidecar.end();
        }
        record.line("requests written whole: " + written + ", answers: " + answers);
        return answers < written.get()
                ? List.of((written.get() - answers) + " of " + written + " requests on one connection had no answer")
                : List.of();
    }

    private boolean answer(Http.Message request, Socket socket) throws Exception {
        Thread.sleep(10);
        return CheckServer.answerOk(socket, "report for " + request.header("X-Txn"));
    }

    private void exchange(Socket socket) throws Exception {
        socket.setSoTimeout(5000);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        if (trouble) {
            Thread writer = Threads.start("writer", () -> {
                for (int i = 0; i < REQUESTS && write(socket); i++) {}
            });
            while (answers < REQUESTS && readAnswer(in)) {}
            writer.join();
        } else {
            while (answers < REQUESTS && write(socket) && readAnswer(in)) {}
        }
    }

    /** Writes one request; returns false if the connection has ended. */
    private boolean write(Socket socket) {
        String id = Requests.newId();
        try {
            socket.getOutputStream().write(Requests.submitCheck(id, REMAINING_MILLIS, Requests.body(BODY_BYTES)));
            written.incrementAndGet();
            record.line("client sent " + id);
            return true;
        } catch (IOException e) {
            record.line("client could not send " + id + ": " + e);
            return false;
        }
    }

    /** Reads one answer; returns false if the connection has ended. */
    private boolean readAnswer(InputStream in) {
        try {
            Http.Message answer = Http.read(in);
            if (answer != null) {
                answers++;
                record.line("client got " + answer.startLine + " " + answer.text());
                return true;
            }
            record.line("client got the end of the connection");
        } catch (IOException e) {
            record.line("client got " + e);
        }
        return false;
    }
}
