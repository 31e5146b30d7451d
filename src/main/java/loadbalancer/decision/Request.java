package loadbalancer.decision;

/**
 * A client's request as the decision module sees it.
 *
 * @param id unique name; each try of the client has its own
 * @param key requests with the same key concern the same subject; -1 if there is none
 * @param retry whether the client marked it as a retry of an earlier request
 * @param write whether it changes data
 * @param costHintMicros expected work in microseconds of a standard core; 0 if there is no hint
 * @param remainingMicros time until the client gives up
 * @param tenant name of the tenant that it counts for, or null
 * @param requestClass name of its request class in the settings
 */
public record Request(
        String id,
        long key,
        boolean retry,
        boolean write,
        double costHintMicros,
        long remainingMicros,
        String tenant,
        String requestClass) {}
