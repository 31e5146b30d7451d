import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Idle and half-written connections fill the descriptors; meanwhile the application sends requests on new connections.
 */
final class IdleCrowd extends Case {
    /** How many clients come at once in a crowd, and how many crowds come, one after another. */
    private static final int CROWD = 300;

    private static final int CROWDS = 4;
    private static final long CROWD_PAUSE_MILLIS = 2700;
    /** Requests of the application after each crowd. */
    private static final int REQUESTS = 10;

    private static final long REQUEST_PAUSE_MILLIS = 20;
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
        sidecar.configure(discovery.address(), discovery.wholeList());
        sidecar.start();
        List<Socket> crowd = Collections.synchronizedList(new ArrayList<>());
        try {
            sidecar.awaitReady();
            Thread.sleep(2000);
            for (int i = 0; i < CROWDS; i++) {
                if (trouble) {
                    connect(sidecar, crowd);
                }
                List<Thread> clients = new ArrayList<>();
                for (int k = 0; k < REQUESTS; k++) {
                    clients.add(Threads.start("client", () -> send(sidecar)));
                    Thread.sleep(REQUEST_PAUSE_MILLIS);
                }
                for (Thread client : clients) {
                    client.join();
                }
                Thread.sleep(CROWD_PAUSE_MILLIS);
            }
        } finally {
            sidecar.end();
            for (Socket idle : List.copyOf(crowd)) {
                idle.close();
            }
        }
        record.line("requests that are judged: " + judged + ", lost: " + lost.size());
        if (judged.get() == 0) {
            throw new CaseCannotRun("no request had an answer or waited for one");
        }
        return List.copyOf(lost);
    }

    /** Opens the connections of a crowd. Every second client sends a part of a request and stops, the others nothing. */
    private void connect(Sidecar sidecar, List<Socket> crowd) throws IOException {
        byte[] part = "POST /api HTTP/1.1\r\nHost: api.internal\r\n".getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < CROWD; i++) {
            Socket socket = sidecar.connect();
            if (i % 2 == 0) {
                socket.getOutputStream().write(part);
            }
            crowd.add(socket);
        }
        record.line("a crowd has connected: " + CROWD);
    }

    private boolean answer(Http.Message request, Socket socket) throws Exception {
        Thread.sleep(30);
        return CheckServer.answerOk(socket, "report for " + request.header("X-Txn"));
    }

    /**
     * Sends one request on a new connection. A connection that can't be opened, or is closed before an answer, is not
     * counted: the page allows new connections to be shut unread.
     */
    private void send(Sidecar sidecar) {
        String id = Requests.newId();
        try (Socket socket = sidecar.connect()) {
            socket.setSoTimeout(5000);
            socket.getOutputStream().write(Requests.submitCheck(id, REMAINING_MILLIS, Requests.body(200)));
            long sentMillis = record.millis();
            record.line("client sent " + id);
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
