import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A check server on a loopback address: three cores, which execute requests in the order of their arrival. A subclass
 * may change how an executed request is answered. The whole server can be made to stand still for a while: then it
 * reads nothing and writes nothing.
 */
class CheckServer implements AutoCloseable {
    private static final int CORES = 3;
    private static final int BACKLOG = 500;

    final String id;
    final int cell;
    final Recorder recorder;
    final ScheduledExecutorService timers;
    private final double speed;
    private final Random random;
    private final ServerSocket listener;
    private final long[] coreFreeNanos = new long[CORES];
    private long standsStillUntilNanos = System.nanoTime();

    /** @param speed the speed of a core; 1 executes the work of a request in its nominal time */
    CheckServer(String id, int cell, double speed, long seed, Recorder recorder, ScheduledExecutorService timers)
            throws IOException {
        this.id = id;
        this.cell = cell;
        this.speed = speed;
        this.recorder = recorder;
        this.timers = timers;
        random = new Random(seed);
        listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
        Daemons.start("accept " + id, this::acceptAll);
    }

    int port() {
        return listener.getLocalPort();
    }

    String entryJson(String lifecycle) {
        return """
                {"instanceId":"%s","hostPort":"127.0.0.1:%d","zone":"kacyiru-dc","machineType":"full-3c","cell":%d,\
                "lifecycle":"%s","weight":1.0,"startedAtMs":0}"""
                .formatted(id, port(), cell, lifecycle);
    }

    /** Lets the server stand still from now on for this time. */
    synchronized void standStill(long millis) {
        standsStillUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Waits while the server stands still. */
    void awaitRunning() {
        long remainingNanos;
        while ((remainingNanos = remainingStandstillNanos()) > 0) {
            Daemons.sleepNanos(remainingNanos);
        }
    }

    private synchronized long remainingStandstillNanos() {
        return standsStillUntilNanos - System.nanoTime();
    }

    private void acceptAll() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            Daemons.start("connection of " + id, () -> serve(new Connection(socket)));
        }
    }

    private void serve(Connection connection) throws IOException {
        try (connection) {
            HttpReader reader = new HttpReader(connection.socket.getInputStream());
            for (HttpReader.Message request; (request = reader.read()) != null; ) {
                awaitRunning();
                String requestId = request.header("X-Txn");
                recorder.add("server %s received request=%s", id, requestId);
                HttpReader.Message received = request;
                timers.schedule(
                        () -> Daemons.start("answer " + requestId, () -> answer(connection, received)),
                        serviceNanos(RequestText.classOf(requestId)),
                        TimeUnit.NANOSECONDS);
            }
        }
    }

    /** Occupies a core for the request and returns the time until it is executed. */
    private synchronized long serviceNanos(RequestClass requestClass) {
        int core = 0;
        for (int i = 1; i < CORES; i++) {
            core = coreFreeNanos[i] < coreFreeNanos[core] ? i : core;
        }
        long nowNanos = System.nanoTime();
        double spread = requestClass.maxWorkMillis() - requestClass.minWorkMillis();
        double workMillis = requestClass.minWorkMillis() + random.nextDouble() * spread;
        coreFreeNanos[core] = Math.max(nowNanos, coreFreeNanos[core]) + (long) (workMillis * 1e6 / speed);
        return coreFreeNanos[core] - nowNanos;
    }

    /** Answers an executed request. The body names the request and the server. */
    void answer(Connection connection, HttpReader.Message request) throws IOException {
        String requestId = request.header("X-Txn");
        String body = body(requestId);
        recorder.add("server %s answers request=%s", id, requestId);
        connection.write(response(body));
    }

    final String body(String requestId) {
        return requestId + " served by " + id;
    }

    static String response(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    /** One connection of a sidecar. Writes wait while the server stands still. */
    final class Connection implements AutoCloseable {
        final Socket socket;

        Connection(Socket socket) {
            this.socket = socket;
        }

        void write(String text) throws IOException {
            awaitRunning();
            OutputStream output = socket.getOutputStream();
            output.write(text.getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
