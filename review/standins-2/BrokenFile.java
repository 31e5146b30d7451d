import java.io.BufferedInputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * SIGHUP with a broken file: the class submit-check lacks its key `group`. With and without this, check servers reset
 * some connections under requests that have run.
 */
final class BrokenFile extends Case {
    private static final int REQUESTS = 60;
    private static final int SERVERS = 12;

    /** The cells whose servers ran a request, by its idempotency key, in the order of the runs. */
    private final Map<String, Set<Integer>> cellsByKey = new ConcurrentHashMap<>();

    @Override
    List<String> play() throws Exception {
        Discovery discovery = new Discovery(record);
        for (int i = 0; i < SERVERS; i++) {
            int cell = i / (SERVERS / 2);
            CheckServer server =
                    new CheckServer("s-" + i, record, (request, socket) -> answer(cell, request, socket));
            discovery.add(server, cell, 0);
        }
        Sidecar sidecar = new Sidecar(root, temporary, record);
        sidecar.configure(discovery.address(), discovery.wholeList());
        sidecar.start();
        try {
            sidecar.awaitReady();
            Thread.sleep(1500);
            if (trouble) {
                sidecar.settings = Sidecar.SETTINGS.replace("\"group\":\"cell\",", "");
            }
            sidecar.configure(discovery.address(), discovery.wholeList());
            sidecar.signal("HUP");
            Thread.sleep(1500);
            for (int i = 0; i < REQUESTS; i++) {
                send(sidecar, Requests.newId());
                Thread.sleep(50);
            }
        } finally {
            sidecar.end();
        }
        List<String> broken = new ArrayList<>();
        cellsByKey.forEach((key, cells) -> {
            if (cells.size() > 1) {
                broken.add(key + " was run in the cells " + cells);
            }
        });
        return broken;
    }

    /** Runs a request. Resets the connection of the first attempt of every second one, after it has run. */
    private boolean answer(int cell, Http.Message request, Socket socket) throws Exception {
        Set<Integer> cells = cellsByKey.computeIfAbsent(request.header("Idempotency-Key"), key -> new LinkedHashSet<>());
        boolean first;
        synchronized (cells) {
            first = cells.isEmpty();
            cells.add(cell);
        }
        record.line(request.header("X-Txn") + " runs in cell " + cell);
        Thread.sleep(20);
        if (first && Long.parseUnsignedLong(request.header("X-Txn"), 16) % 2 == 0) {
            socket.setSoLinger(true, 0);
            return false;
        }
        return CheckServer.answerOk(socket, "report for " + request.header("X-Txn"));
    }

    private void send(Sidecar sidecar, String id) throws Exception {
        try (Socket socket = sidecar.connect()) {
            socket.setSoTimeout(5000);
            socket.getOutputStream().write(Requests.submitCheck(id, 1000, Requests.body(200)));
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            record.line("client got for " + id + ": " + (answer == null ? "close" : answer.startLine));
        }
    }
}
