import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a stream. */
final class Http {
    private Http() {}

    /** A message with a start line, headers by name in lower case, and a body. */
    static final class Message {
        String startLine = "";
        final Map<String, String> headers = new TreeMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        /** Returns the status of a response. */
        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /**
     * Reads a message whose body has a Content-Length, or none. Returns null if the stream ends before its first byte.
     * Throws an IOException if it ends within the message.
     */
    static Message read(InputStream in) throws IOException {
        String start = line(in, true);
        if (start == null) {
            return null;
        }
        Message message = new Message();
        message.startLine = start;
        for (String header = line(in, false); !header.isEmpty(); header = line(in, false)) {
            int colon = header.indexOf(':');
            message.headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        String length = message.header("Content-Length");
        int count = length.isEmpty() ? 0 : Integer.parseInt(length);
        message.body = in.readNBytes(count);
        if (message.body.length < count) {
            throw new IOException("the stream ended within the body");
        }
        return message;
    }

    private static String line(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (mayEnd && line.size() == 0) {
                    return null;
                }
                throw new IOException("the stream ended within a line");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
