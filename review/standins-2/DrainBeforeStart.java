import java.io.BufferedInputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** A check server drains while the sidecar is down, and discovery is slow when the sidecar starts again. */
final class DrainBeforeStart extends Case {
    private static final int REQUESTS = 60;
    private static final long SLOW_MILLIS = 2000;
    /** The settings' grace for drains; every time limit is 50 ms longer. */
    private static final long GRACE_MILLIS = 250 + 50;

    private final List<Long> sentToDraining = Collections.synchronizedList(new ArrayList<>());

    @Override
    List<String> play() throws Exception {
        Discovery discovery = new Discovery(record);
        CheckServer draining = new CheckServer("s-0", record, (request, socket) -> {
            sentToDraining.add(record.millis());
            return answer(request, socket);
        });
        discovery.add(draining, 1, 0);
        for (int i = 1; i < 8; i++) {
            discovery.add(new CheckServer("s-" + i, record, this::answer), 1, 0);
        }
        String known = discovery.wholeList();
        discovery.change(draining, "Terminating");
        discovery.delayMillis = trouble ? SLOW_MILLIS : 0;
        Sidecar sidecar = new Sidecar(root, temporary, record);
        sidecar.configure(discovery.address(), known);
        sidecar.start();
        long startedMillis = record.millis();
        try {
            sidecar.awaitReady();
            for (int i = 0; i < REQUESTS; i++) {
                send(sidecar, Requests.newId());
                Thread.sleep(10);
            }
        } finally {
            sidecar.end();
        }
        List<String> broken = new ArrayList<>();
        for (long sentMillis : sentToDraining) {
            if (sentMillis - startedMillis > GRACE_MILLIS) {
                broken.add("s-0, which drains, got a request " + (sentMillis - startedMillis)
                        + " ms after the start of the process");
            }
        }
        return broken;
    }

    private boolean answer(Http.Message request, Socket socket) throws Exception {
        Thread.sleep(20);
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
