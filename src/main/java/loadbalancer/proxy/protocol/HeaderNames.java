package loadbalancer.proxy.protocol;

/** Names on the sockets, as the protocol has them. */
public final class HeaderNames {
    public static final String REQUEST_ID = "X-Txn";
    public static final String REQUEST_CLASS = "X-Lane";
    public static final String TENANT = "X-Org";
    public static final String REMAINING_MILLIS = "X-Remaining-Ms";
    public static final String RETRY = "X-Resent";
    public static final String COST_HINT = "X-Estimate";
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    public static final String REJECTED = "X-Turned-Away";
    public static final String LOAD_REPORT = "X-Pressure";
    /** The cookie that tells what a request is about. */
    public static final String ROUTING_KEY_COOKIE = "k";
    /** The most that a request's body may hold. */
    public static final int MAX_REQUEST_BODY_BYTES = 64 * 1024;
    /** Upstreams do answer with more than the protocol's 64 KiB: up to 400 KB were seen. Beyond this it is noise. */
    public static final int MAX_RESPONSE_BODY_BYTES = 1024 * 1024;

    private HeaderNames() {}
}
