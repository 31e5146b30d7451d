package loadbalancer.proxy.client;

import loadbalancer.decision.Request;
import loadbalancer.settings.RequestClass;

/**
 * The valid content of a request's headers.
 *
 * @param tenant null where the request names none
 * @param routingKey a number of 53 bits, or {@link #NO_ROUTING_KEY}
 * @param costHintMicros 0 where the request has none
 * @param remainingMicros the time-out of the client for the response, at most the deadline of the class
 */
record ParsedRequest(
        String id,
        RequestClass requestClass,
        String tenant,
        long routingKey,
        boolean retry,
        long costHintMicros,
        long remainingMicros,
        RequestPayload payload) {
    static final long NO_ROUTING_KEY = -1;

    /** What the load balancer decides on: {@code untilDeadlineMicros} is the time in which to respond, 1 at least. */
    Request toRequest(long untilDeadlineMicros) {
        return new Request(
                id,
                routingKey,
                retry,
                false,
                costHintMicros,
                Math.max(1, untilDeadlineMicros),
                tenant,
                requestClass.name());
    }
}
