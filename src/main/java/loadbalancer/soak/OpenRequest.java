package loadbalancer.soak;

/** A client's request that has no response yet. Confined to the event loop of the run. */
final class OpenRequest {
    final String id;
    final RequestKind kind;
    final long remainingMicros;
    /** When the last byte was written; 0 before that. */
    long sentMicros;
    /** Whether the request was sent once more because the sidecar had closed its connection without reading it. */
    boolean resent;

    private final int bodyBytes;

    /** {@code bodyBytes} is the shortest length of the body, if the request has one. */
    OpenRequest(String id, RequestKind kind, long remainingMicros, int bodyBytes) {
        this.id = id;
        this.bodyBytes = bodyBytes;
        this.kind = kind;
        this.remainingMicros = remainingMicros;
    }

    private String body() {
        String start = "body of " + id;
        return start + "x".repeat(Math.max(0, bodyBytes - start.length()));
    }

    /** Returns the request as text. Only a safe request has no body, and only a keyed one has a key. */
    String text() {
        String key = kind.idempotency() == RequestKind.Idempotency.KEYED ? "Idempotency-Key: key-" + id + "\r\n" : "";
        String body = kind.idempotency() == RequestKind.Idempotency.SAFE ? "" : body();
        return kind.method() + " /api HTTP/1.1\r\nHost: api\r\nX-Txn: " + id + "\r\nX-Lane: " + kind.name() + "\r\n"
                + key
                + "X-Remaining-Ms: " + remainingMicros / 1_000 + "\r\n"
                + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body;
    }
}
