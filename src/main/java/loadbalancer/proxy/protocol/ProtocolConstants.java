package loadbalancer.proxy.protocol;

/**
 * Header and cookie names on the wire, and size limits of request and response bodies. Each constant is named by the
 * term that the code uses; the name on the wire may differ.
 */
public final class ProtocolConstants {
    public static final String REQUEST_ID = "X-Txn";
    public static final String REQUEST_CLASS = "X-Lane";
    public static final String TENANT = "X-Org";
    /** Time until the deadline of the client. */
    public static final String REMAINING_MILLIS = "X-Remaining-Ms";
    /** Has the value {@code 1} if the client has sent this request before. */
    public static final String RETRY = "X-Resent";

    /** The client's estimate of the work of the request, in microseconds of a standard core. */
    public static final String COST_HINT = "X-Estimate";

    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    /** Has the value {@code 1} if the endpoint guarantees in its response that it has not executed the request. */
    public static final String REJECTED = "X-Turned-Away";

    public static final String LOAD_REPORT = "X-Pressure";
    /** The cookie that contains the routing key, which identifies the subject of a request. */
    public static final String ROUTING_KEY_COOKIE = "k";

    public static final int MAX_REQUEST_BODY_BYTES = 64 * 1024;
    /** Exceeds the 64 KiB that the protocol states, because endpoints send responses of up to 400 KB. */
    public static final int MAX_RESPONSE_BODY_BYTES = 1024 * 1024;

    private ProtocolConstants() {}
}
