package loadbalancer.decision;

/** {@code costHintMicros} is 0 where there is none; {@code remainingMicros} is the time until the client gives up. */
public record Request(
        String id,
        long key,
        boolean retry,
        boolean write,
        double costHintMicros,
        long remainingMicros,
        String tenant,
        String requestClass) {}
