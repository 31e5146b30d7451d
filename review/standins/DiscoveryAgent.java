import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The agent of discovery. Its list never changes: a call without an index gets it at once, a watch gets no change. */
final class DiscoveryAgent implements AutoCloseable {
    private static final Pattern WATCH = Pattern.compile("/registry/instances\\?index=(\\d+)&wait=(\\d+)");
    private static final int GENERATION = 41;

    private final ServerSocket listener;
    private final List<String> entries;

    /** @param entries the entries of the list, as JSON */
    DiscoveryAgent(List<String> entries) throws IOException {
        this.entries = entries;
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Daemons.start("discovery", this::acceptAll);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    String wholeListJson() {
        return listJson(true, String.join(",", entries));
    }

    private static String listJson(boolean whole, String instances) {
        return "{\"generation\":" + GENERATION + ",\"reset\":" + whole + ",\"instances\":[" + instances + "]}";
    }

    private void acceptAll() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            Daemons.start("call to discovery", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            HttpReader reader = new HttpReader(socket.getInputStream());
            OutputStream output = socket.getOutputStream();
            for (HttpReader.Message call; (call = reader.read()) != null; ) {
                output.write(CheckServer.response(list(call.target())).getBytes(StandardCharsets.ISO_8859_1));
                output.flush();
            }
        }
    }

    private String list(String target) {
        Matcher watch = WATCH.matcher(target);
        if (!watch.matches() || Integer.parseInt(watch.group(1)) != GENERATION) {
            return wholeListJson();
        }
        Daemons.sleepMillis(Long.parseLong(watch.group(2)));
        return listJson(false, "");
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
