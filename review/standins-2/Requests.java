import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** Writes requests in the form of the page PROTOCOL. */
final class Requests {
    private static final AtomicInteger COUNT = new AtomicInteger();

    private Requests() {}

    static String newId() {
        return String.format("%016x", 0x9b1f03aa00000000L + COUNT.incrementAndGet());
    }

    /** Returns an issue-report, which is unsafe to repeat and so has no key. */
    static byte[] issueReport(String id, long remainingMillis, byte[] body) {
        return request(id, "issue-report", remainingMillis, "", body);
    }

    /** Returns a submit-check, which carries a key. */
    static byte[] submitCheck(String id, long remainingMillis, byte[] body) {
        return request(id, "submit-check", remainingMillis, "Idempotency-Key: key-" + id + "\r\n", body);
    }

    private static byte[] request(String id, String lane, long remainingMillis, String key, byte[] body) {
        String head = "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Txn: " + id + "\r\nX-Lane: " + lane
                + "\r\nX-Org: tender-office\r\nX-Remaining-Ms: " + remainingMillis + "\r\n" + key
                + "Content-Length: " + body.length + "\r\n\r\n";
        return CheckServer.join(head, body);
    }

    static byte[] body(int length) {
        return "x".repeat(length).getBytes(StandardCharsets.US_ASCII);
    }
}
