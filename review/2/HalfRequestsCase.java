import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/**
 * One sidecar under ordinary load. Many bad clients connect; each sends the head and most of the body of a long request,
 * the last part of it in small pieces, stops and stays. The requests of the other clients must still get their answers.
 */
final class HalfRequestsCase {
    private static final int DESCRIPTORS = 384;
    private static final int CHECK_SERVERS = 8;
    private static final double REQUESTS_PER_SECOND = 60;
    private static final int SECONDS = 30;
    private static final int SECONDS_BEFORE_BAD_CLIENTS = 5;
    /** Less than half of the descriptors. Each comes once. */
    private static final int BAD_CLIENTS = 160;
    /** A body may hold 64 KiB. */
    private static final int ANNOUNCED_BODY_BYTES = 64 * 1024;

    private static final int FIRST_PIECE_BYTES = 60_000;
    private static final int SMALL_PIECES = 30;
    private static final int SMALL_PIECE_BYTES = 100;
    private static final int SMALL_PIECE_INTERVAL_MILLIS = 50;
    private static final int BAD_CLIENT_STAYS_MILLIS = 8_000;
    /** A later answer comes too late for its client and counts as lost. */
    private static final double ANSWER_SLACK_MILLIS = 500;

    private HalfRequestsCase() {}

    public static void main(String[] arguments) {
        CaseRun.main(2, arguments[0], HalfRequestsCase::play);
    }

    private static List<String> play(boolean disturbed, Path folder, Recorder recorder) throws Exception {
        ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);
        List<CheckServer> servers = new ArrayList<>();
        for (int i = 0; i < CHECK_SERVERS; i++) {
            servers.add(new CheckServer("s-" + i, i % 2, 1, i, recorder, timers));
        }
        DiscoveryAgent discovery = new DiscoveryAgent(
                servers.stream().map(each -> each.entryJson("Ready")).toList());
        try (Sidecar sidecar = new Sidecar(0, 1, DESCRIPTORS, folder, discovery, recorder)) {
            sidecar.start();
            Client client = new Client("c0", sidecar.port(), 1, recorder);
            Thread sending = new Thread(() -> client.run(REQUESTS_PER_SECOND, SECONDS));
            sending.start();
            Daemons.sleepMillis(1_000L * SECONDS_BEFORE_BAD_CLIENTS);
            for (int i = 0; disturbed && i < BAD_CLIENTS; i++) {
                int number = i;
                Daemons.start("bad client", () -> sendHalfRequest(number, sidecar.port(), recorder));
            }
            sending.join();
            sidecar.recordLog();
            return lostRequests(client, recorder);
        }
    }

    /** Sends a request without the last part of its body, then waits for the error or the close that it is owed. */
    private static void sendHalfRequest(int number, int port, Recorder recorder) throws IOException {
        String head = "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Txn: bad-" + number
                + "\r\nX-Lane: submit-check\r\nX-Org: tender-office\r\nX-Remaining-Ms: 900\r\nIdempotency-Key: bad-"
                + number + "\r\nContent-Length: " + ANNOUNCED_BODY_BYTES + "\r\n\r\n";
        try (Socket socket = new Socket("127.0.0.1", port)) {
            double connectedSeconds = recorder.nowSeconds();
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(BAD_CLIENT_STAYS_MILLIS);
            send(socket, head + "x".repeat(FIRST_PIECE_BYTES));
            for (int i = 0; i < SMALL_PIECES; i++) {
                Daemons.sleepMillis(SMALL_PIECE_INTERVAL_MILLIS);
                send(socket, "x".repeat(SMALL_PIECE_BYTES));
            }
            recorder.add("bad client %d has sent a part of a request", number);
            int first = socket.getInputStream().read();
            recorder.add(
                    "bad client %d got %s after %.2f s",
                    number, first < 0 ? "a close" : "an error", recorder.nowSeconds() - connectedSeconds);
        }
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Returns the requests that were written whole on an accepted connection and got no answer in time. */
    private static List<String> lostRequests(Client client, Recorder recorder) {
        List<String> violations = new ArrayList<>();
        int served = 0;
        for (Client.Result result : client.results) {
            served += result.status() == 200 ? 1 : 0;
            boolean late = result.tookMillis() > result.remainingMillis() + ANSWER_SLACK_MILLIS;
            boolean accepted = result.ending().equals("answered") || result.ending().equals("silent");
            if (accepted && late) {
                violations.add("request %s: %s, waited %.0f ms of %d ms"
                        .formatted(
                                result.requestId(),
                                result.status() == 0 ? "no answer and no close" : "status " + result.status(),
                                result.tookMillis(),
                                result.remainingMillis()));
            }
        }
        recorder.announce("requests=%d served=%d", client.results.size(), served);
        if (served == 0) {
            throw new IllegalStateException("no request was served");
        }
        return violations;
    }
}
