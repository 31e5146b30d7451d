import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients send much at once, in very short chunks, and stay; the application goes on to submit documents. */
final class CostlyInput extends Case {
    private static final int BAD_CLIENTS = 300;
    /** Below the 64 KiB of a body; the request never ends. */
    private static final int CHUNKS = 65_000;

    private static final int REQUESTS = 100;
    private static final long REQUEST_PAUSE_MILLIS = 40;
    private static final int BODY_BYTES = 60_000;
    private static final long REMAINING_MILLIS = 500;
    /** Half a second after its time a request without an answer is lost; every time limit is 50 ms longer. */
    private static final long LOST_AFTER_MILLIS = REMAINING_MILLIS + 500 + 50;

    private final AtomicInteger judged = new AtomicInteger();
    private final List<String> lost = Collections.synchronizedList(new ArrayList<>());

    @Override
    List<String> play() throws Exception {
        Discovery discovery = new Discovery(record);
        for (int i = 0; i < 8; i++) {
            discovery.add(new CheckServer("s-" + i, record, this::answer), 1, 0);
        }
        Sidecar sidecar = new Sidecar(root, temporary, record);
        sidecar.sockets = 1024;
        sidecar.configure(discovery.address(), discovery.wholeList());
        sidecar.start();
        try {
            sidecar.awaitReady();
            Thread.sleep(2000);
            for (int i = 0; trouble && i < BAD_CLIENTS; i++) {
                Threads.start("bad client", () -> sendChunks(sidecar));
            }
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                clients.add(Threads.start("client", () -> send(sidecar)));
                Thread.sleep(REQUEST_PAUSE_MILLIS);
            }
            for (Thread client : clients) {
                client.join();
            }
        } finally {
            sidecar.end();
        }
        record.line("requests that are judged: " + judged + ", lost: " + lost.size());
        if (judged.get() == 0) {
            throw new CaseCannotRun("no request had an answer or waited for one");
        }
        return List.copyOf(lost);
    }

    private boolean answer(Http.Message request, Socket socket) throws Exception {
        Thread.sleep(20);
        return CheckServer.answerOk(socket, "report for " + request.header("X-Txn"));
    }

    /** Sends a part of a request once, then waits for the error or the close. */
    private void sendChunks(Sidecar sidecar) {
        byte[] part = ("POST /api HTTP/1.1\r\nHost: api.internal\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "1\r\nx\r\n".repeat(CHUNKS))
                .getBytes(StandardCharsets.US_ASCII);
        try (Socket socket = sidecar.connect()) {
            socket.setSoTimeout(8000);
            socket.getOutputStream().write(part);
            record.line("bad client has sent " + part.length + " bytes");
            record.line("bad client got " + awaitAnswer(socket));
        } catch (IOException e) {
            record.line("bad client got " + e);
        }
    }

    /** Sends one request on a new connection. Connections that can't be opened or are closed are not counted. */
    private void send(Sidecar sidecar) {
        String id = Requests.newId();
        try (Socket socket = sidecar.connect()) {
            socket.setSoTimeout(5000);
            socket.getOutputStream().write(Requests.submitCheck(id, REMAINING_MILLIS, Requests.body(BODY_BYTES)));
            long sentMillis = record.millis();
            String got = awaitAnswer(socket);
            long tookMillis = record.millis() - sentMillis;
            record.line("client got for " + id + ": " + got + " after " + tookMillis + " ms");
            judged.addAndGet(got.equals("close") ? 0 : 1);
            if (!got.equals("close") && tookMillis > LOST_AFTER_MILLIS) {
                lost.add(id + " with " + REMAINING_MILLIS + " ms left had no answer for " + tookMillis + " ms");
            }
        } catch (IOException e) {
            record.line("client had no connection for " + id + ": " + e);
        }
    }

    private static String awaitAnswer(Socket socket) throws IOException {
        try {
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            return answer == null ? "close" : answer.startLine;
        } catch (SocketTimeoutException e) {
            return "nothing";
        } catch (IOException e) {
            return "close";
        }
    }
}
