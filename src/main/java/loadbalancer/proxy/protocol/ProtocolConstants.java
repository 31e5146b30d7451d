package loadbalancer.proxy.protocol;

/**
 * The names of headers and cookies on the wire, as constants in the terms of the code, and the size limits of bodies.
 */
public final class ProtocolConstants {
    public static final String REQUEST_ID = "X-Txn";
    public static final String REQUEST_CLASS = "X-Lane";
    public static final String TENANT = "X-Org";
    public static final String REMAINING_MILLIS = "X-Remaining-Ms";
    /** {@code 1} if the client has sent this request before. */
    public static final String RETRY = "X-Resent";

    public static final String COST_HINT = "X-Estimate";
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    /** {@code 1} on an endpoint's response that guarantees that the request has not run. */
    public static final String REJECTED = "X-Turned-Away";

    public static final String LOAD_REPORT = "X-Pressure";
    /** The cookie with the routing key, which identifies what a request is about. */
    public static final String ROUTING_KEY_COOKIE = "k";

    public static final int MAX_REQUEST_BODY_BYTES = 64 * 1024;
    /** Endpoints may send more than the 64 KiB that the protocol states; responses of up to 400 KB occur. */
    public static final int MAX_RESPONSE_BODY_BYTES = 1024 * 1024;

    private ProtocolConstants() {}
}
