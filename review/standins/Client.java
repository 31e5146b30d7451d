import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The application beside one sidecar. Its requests arrive at random; each uses a resting connection or opens a new one,
 * and each connection carries one request at a time.
 */
final class Client {
    private static final int MAX_WAIT_AFTER_DEADLINE_MILLIS = 600;

    /**
     * What became of a request.
     *
     * @param status the status of the answer; 0 if there was none
     * @param remainingMillis what the client has stated with the request
     * @param sentSeconds when the request was written
     * @param tookMillis the time from the request's last byte to the end of the answer or of the connection
     */
    record Result(
            String requestId,
            int status,
            String body,
            long remainingMillis,
            double sentSeconds,
            double tookMillis,
            String ending) {}

    private final String name;
    private final int port;
    private final Recorder recorder;
    private final Random random;
    private final AtomicInteger numbers = new AtomicInteger();
    private final ArrayDeque<Socket> resting = new ArrayDeque<>();
    private final AtomicInteger open = new AtomicInteger();
    final Queue<Result> results = new ConcurrentLinkedQueue<>();

    Client(String name, int port, long seed, Recorder recorder) {
        this.name = name;
        this.port = port;
        this.recorder = recorder;
        random = new Random(seed);
    }

    /** Sends requests for this time, then waits until all have ended. */
    void run(double requestsPerSecond, double seconds) {
        double end = recorder.nowSeconds() + seconds;
        while (recorder.nowSeconds() < end) {
            Daemons.sleepNanos((long) (-Math.log(1 - random.nextDouble()) / requestsPerSecond * 1e9));
            RequestClass requestClass = random.nextDouble() < RequestClass.SUBMIT_CHECK.share()
                    ? RequestClass.SUBMIT_CHECK
                    : RequestClass.ISSUE_REPORT;
            String requestId = newId(requestClass);
            long remainingMillis = (long) (requestClass.giveUpMillis() * (0.4 + 0.4 * random.nextDouble()));
            open.incrementAndGet();
            Daemons.start("request " + requestId, () -> send(requestId, remainingMillis));
        }
        while (open.get() > 0) {
            Daemons.sleepMillis(10);
        }
    }

    String newId(RequestClass requestClass) {
        return RequestText.id(name, numbers.incrementAndGet(), requestClass);
    }

    private void send(String requestId, long remainingMillis) {
        try {
            Socket rested = takeResting();
            Result result = rested == null ? null : exchange(rested, requestId, remainingMillis);
            if (result == null) {
                result = exchange(connect(), requestId, remainingMillis);
            }
            if (result == null) {
                result = new Result(
                        requestId, 0, "", remainingMillis, recorder.nowSeconds(), 0, "closed without an answer");
            }
            add(result);
        } catch (IOException e) {
            String ending = "not connected: " + e.getMessage();
            add(new Result(requestId, 0, "", remainingMillis, recorder.nowSeconds(), 0, ending));
        } finally {
            open.decrementAndGet();
        }
    }

    private void add(Result result) {
        results.add(result);
        recorder.add(
                "client %s request=%s status=%d took_ms=%.1f remaining_ms=%d ending=\"%s\" body=\"%s\"",
                name,
                result.requestId(),
                result.status(),
                result.tookMillis(),
                result.remainingMillis(),
                result.ending(),
                result.body());
    }

    private Socket takeResting() {
        synchronized (resting) {
            return resting.poll();
        }
    }

    Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1_000);
        return socket;
    }

    /** Sends a request and waits for its answer; returns null if the connection ended without one. */
    private Result exchange(Socket socket, String requestId, long remainingMillis) {
        double sentSeconds = recorder.nowSeconds();
        try {
            socket.setSoTimeout((int) remainingMillis + MAX_WAIT_AFTER_DEADLINE_MILLIS);
            recorder.add("client %s sends request=%s", name, requestId);
            socket.getOutputStream()
                    .write(RequestText.of(requestId, remainingMillis).getBytes(StandardCharsets.ISO_8859_1));
            HttpReader.Message answer = new HttpReader(socket.getInputStream()).read();
            if (answer == null) {
                socket.close();
                return null;
            }
            double tookMillis = (recorder.nowSeconds() - sentSeconds) * 1e3;
            rest(socket, answer);
            return new Result(
                    requestId, answer.status(), answer.body(), remainingMillis, sentSeconds, tookMillis, "answered");
        } catch (SocketTimeoutException e) {
            // The client has waited long enough and goes away.
            closeQuietly(socket);
            double tookMillis = (recorder.nowSeconds() - sentSeconds) * 1e3;
            return new Result(requestId, 0, "", remainingMillis, sentSeconds, tookMillis, "silent");
        } catch (IOException e) {
            return null;
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // The socket is of no further use either way.
            return;
        }
    }

    private void rest(Socket socket, HttpReader.Message answer) throws IOException {
        if (answer.header("Connection").equalsIgnoreCase("close")) {
            socket.close();
            return;
        }
        synchronized (resting) {
            resting.push(socket);
        }
    }
}
