import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The discovery agent of one sidecar: holds the list and answers calls for the whole list and watches. */
final class Discovery {
    private static final Pattern WATCH = Pattern.compile("index=(\\d+)&wait=(\\d+)");

    /** One entry of the list. */
    static final class Entry {
        String json = "";
        String lifecycle = "Ready";
        long changedAt;

        String json() {
            return json.replace("LIFECYCLE", lifecycle);
        }
    }

    private final ServerSocket listener;
    private final Record record;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long generation = 41;
    /** How long the agent holds back each answer, in milliseconds. */
    volatile long delayMillis;

    Discovery(Record record) throws IOException {
        this.record = record;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
        Threads.start("discovery", this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Adds a server that is ready, before the sidecar starts. */
    synchronized void add(CheckServer server, int cell, long startedAtMs) {
        Entry entry = new Entry();
        entry.json = "{\"instanceId\":\"" + server.id + "\",\"hostPort\":\"" + server.address()
                + "\",\"zone\":\"kacyiru-dc\",\"machineType\":\"full-3c\",\"cell\":" + cell
                + ",\"lifecycle\":\"LIFECYCLE\",\"weight\":1.0,\"startedAtMs\":" + startedAtMs + "}";
        entry.changedAt = generation;
        entries.put(server.id, entry);
    }

    /** Changes the state of a server; from now on the agent has this change. */
    synchronized void change(CheckServer server, String lifecycle) {
        generation++;
        Entry entry = entries.get(server.id);
        entry.lifecycle = lifecycle;
        entry.changedAt = generation;
        record.line("discovery has: " + server.id + " " + lifecycle + " generation " + generation);
        notifyAll();
    }

    /** Returns the whole list. */
    synchronized String wholeList() {
        return list(-1);
    }

    private String list(long since) {
        Map<String, String> listed = new TreeMap<>();
        entries.forEach((id, entry) -> {
            boolean gone = entry.lifecycle.equals("Gone");
            if (since >= 0 ? entry.changedAt > since : !gone) {
                listed.put(id, entry.json());
            }
        });
        return "{\"generation\":" + generation + ",\"reset\":" + (since < 0) + ",\"instances\":["
                + String.join(",", listed.values()) + "]}";
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                Threads.start("discovery connection", () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
                String target = call.startLine.split(" ")[1];
                record.line("discovery asked " + target);
                String body = answer(target);
                if (delayMillis > 0) {
                    Thread.sleep(delayMillis);
                }
                byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                socket.getOutputStream()
                        .write(CheckServer.join(
                                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                        + bytes.length + "\r\n\r\n",
                                bytes));
                record.line("discovery answered " + target + " " + body.length() + " bytes");
            }
        } catch (IOException | InterruptedException e) {
            record.line("discovery connection ended: " + e);
        }
    }

    private synchronized String answer(String target) throws InterruptedException {
        Matcher watch = WATCH.matcher(target);
        if (!watch.find()) {
            return list(-1);
        }
        long index = Long.parseLong(watch.group(1));
        long endNanos = System.nanoTime() + Math.min(60_000, Long.parseLong(watch.group(2))) * 1_000_000;
        for (long left = endNanos - System.nanoTime(); generation <= index && left > 0; ) {
            wait(left / 1_000_000 + 1);
            left = endNanos - System.nanoTime();
        }
        return list(index);
    }
}
