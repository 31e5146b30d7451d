/** The text of requests. The id of a request contains the name of its class. */
final class RequestText {
    private RequestText() {}

    static String id(String client, int number, RequestClass requestClass) {
        return client + "-" + number + "." + requestClass.name();
    }

    static RequestClass classOf(String requestId) {
        return RequestClass.named(requestId.substring(requestId.indexOf('.') + 1));
    }

    static String of(String requestId, long remainingMillis) {
        RequestClass requestClass = classOf(requestId);
        String body = "document of " + requestId;
        return "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Txn: " + requestId + "\r\nX-Lane: " + requestClass.name()
                + "\r\nX-Org: tender-office\r\nX-Remaining-Ms: " + remainingMillis
                + (requestClass.isKeyed() ? "\r\nIdempotency-Key: key-" + requestId : "")
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }
}
