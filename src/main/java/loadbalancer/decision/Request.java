package loadbalancer.decision;

/**
 * A client's request as the decision module sees it.
 *
 * @param id unique name; each try of the client has its own
 * @param routingKey requests with the same key concern the same subject; {@link #NO_ROUTING_KEY} if there is none; no
 *     rule uses it
 * @param retry whether the client marked it as a retry of an earlier request; it is then placed later in the queue
 * @param write whether it changes data; no rule uses it
 * @param costHintMicros expected work in microseconds of a standard core; 0 if there is no hint
 * @param remainingMicros time from its arrival until the client gives up
 * @param tenant name of the tenant that it counts for, or null; no rule uses it
 * @param requestClassName name of its request class in the settings
 */
public record Request(
        String id,
        long routingKey,
        boolean retry,
        boolean write,
        double costHintMicros,
        long remainingMicros,
        String tenant,
        String requestClassName) {
    /** The routing key of a request without one. */
    public static final long NO_ROUTING_KEY = -1;
}
