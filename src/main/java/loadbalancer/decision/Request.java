package loadbalancer.decision;

/**
 * A client's request as the decision module sees it.
 *
 * @param id unique id; a retry by the client has an id of its own
 * @param routingKey equal for requests that access the same data; {@link #NO_ROUTING_KEY} if there is none; no rule
 *     uses it
 * @param retry whether the client marked it as a retry of an earlier request; it is then placed later in the queue
 * @param write whether it changes data; no rule uses it
 * @param costHintMicros expected work in microseconds of a standard core; 0 if there is no hint
 * @param remainingMicros time from the arrival until the client's deadline
 * @param tenant name of the tenant whose quota it counts toward, or null if there is none; no rule uses it
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
