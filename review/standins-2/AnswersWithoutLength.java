import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Check servers answer every second request with a 200 that has no length and ends, whole, with its connection. */
final class AnswersWithoutLength extends Case {
    private static final int REQUESTS = 60;

    /** The bodies of the answers with no length that were written whole, by request. */
    private final Map<String, String> whole = new ConcurrentHashMap<>();

    @Override
    List<String> play() throws Exception {
        Discovery discovery = new Discovery(record);
        for (int i = 0; i < 4; i++) {
            discovery.add(new CheckServer("s-" + i, record, this::answer), 1, 0);
        }
        Sidecar sidecar = new Sidecar(root, temporary, record);
        sidecar.configure(discovery.address(), discovery.wholeList());
        sidecar.start();
        int forwarded = 0;
        try {
            sidecar.awaitReady();
            for (int i = 0; i < REQUESTS; i++) {
                String id = Requests.newId();
                byte[] body = Requests.body(200);
                byte[] request =
                        i % 3 == 0 ? Requests.issueReport(id, 2000, body) : Requests.submitCheck(id, 1000, body);
                Http.Message answer = send(sidecar, id, request);
                if (answer != null && answer.status() == 200 && answer.text().equals(whole.get(id))) {
                    forwarded++;
                }
                Thread.sleep(50);
            }
        } finally {
            sidecar.end();
        }
        record.line("answers with no length that came whole: " + whole.size() + ", of them forwarded: " + forwarded);
        List<String> broken = new ArrayList<>();
        if (2 * forwarded < whole.size()) {
            broken.add(whole.size() + " answers with no length came whole, " + forwarded + " were forwarded");
        }
        return broken;
    }

    private boolean answer(Http.Message request, Socket socket) throws Exception {
        String id = request.header("X-Txn");
        Thread.sleep(20);
        String body = "report for " + id;
        boolean hasLength = !trouble || Long.parseUnsignedLong(id, 16) % 2 == 0;
        if (hasLength) {
            return CheckServer.answerOk(socket, body);
        }
        socket.getOutputStream()
                .write(CheckServer.join(
                        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", body.getBytes(StandardCharsets.UTF_8)));
        socket.shutdownOutput();
        whole.put(id, body);
        record.line("answered whole, with no length: " + id);
        // Waits for the other side, so that the connection is closed and not reset.
        InputStream in = socket.getInputStream();
        socket.setSoTimeout(2000);
        while (in.read() >= 0) {
            Thread.onSpinWait();
        }
        return false;
    }

    private Http.Message send(Sidecar sidecar, String id, byte[] request) throws Exception {
        try (Socket socket = sidecar.connect()) {
            socket.setSoTimeout(5000);
            socket.getOutputStream().write(request);
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            record.line("client got for " + id + ": " + (answer == null ? "close" : answer.startLine));
            return answer;
        }
    }
}
