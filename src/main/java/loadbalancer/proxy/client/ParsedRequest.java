package loadbalancer.proxy.client;

import loadbalancer.decision.Request;
import loadbalancer.settings.RequestClass;

/**
 * A request whose headers have been parsed and checked.
 *
 * @param tenant null if the request names no tenant
 * @param routingKey a number of 53 bits, or {@link Request#NO_ROUTING_KEY}
 * @param retry whether the client states that it has sent this request before
 * @param costHintMicros the expected work of the request, in microseconds of a standard core; 0 if there is no hint
 * @param remainingMicros how long the client waits for the response, limited to the deadline of the class
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
    /**
     * Creates the request for the load balancer. {@code untilDeadlineMicros} is the time left to respond; values below
     * 1 are replaced by 1. {@link Request#write} is always false; no rule of the load balancer uses it.
     */
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
