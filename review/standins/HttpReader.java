import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages whose bodies have a {@code Content-Length}, or no body, from one connection. */
final class HttpReader {
    /** A message: its first line, its headers by lower-case name, and its body. */
    record Message(String firstLine, Map<String, String> headers, String body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        /** Returns the status of a response. */
        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        /** Returns the request target of a request. */
        String target() {
            return firstLine.split(" ")[1];
        }
    }

    private final InputStream input;

    HttpReader(InputStream input) {
        this.input = input;
    }

    /**
     * Reads one message; returns null if the connection ended before its first byte.
     *
     * @throws EOFException if the connection ended within the message
     */
    Message read() throws IOException {
        String firstLine = readLine(true);
        if (firstLine == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line; !(line = readLine(false)).isEmpty(); ) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = input.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the connection ended within a body");
        }
        return new Message(firstLine, headers, new String(body, StandardCharsets.ISO_8859_1));
    }

    private String readLine(boolean endAllowed) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next; (next = input.read()) != '\n'; ) {
            if (next < 0) {
                if (endAllowed && line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a head");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
