package loadbalancer.proxy.protocol;

/** Names of headers and cookies on the wire under the terms of the code, and the limits of bodies. */
public final class HeaderNames {
    public static final String REQUEST_ID = "X-Txn";
    public static final String REQUEST_CLASS = "X-Lane";
    public static final String TENANT = "X-Org";
    public static final String REMAINING_MILLIS = "X-Remaining-Ms";
    /** {@code 1} on a client's retry. */
    public static final String RETRY = "X-Resent";

    public static final String COST_HINT = "X-Estimate";
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    /** {@code 1} on a response that promises that the request has not run. */
    public static final String REJECTED = "X-Turned-Away";

    public static final String LOAD_REPORT = "X-Pressure";
    /** The cookie that names what a request is about. */
    public static final String ROUTING_KEY_COOKIE = "k";

    public static final int MAX_REQUEST_BODY_BYTES = 64 * 1024;
    /** More than the 64 KiB of a request: endpoints were seen to send up to 400 KB. */
    public static final int MAX_RESPONSE_BODY_BYTES = 1024 * 1024;

    private HeaderNames() {}
}
