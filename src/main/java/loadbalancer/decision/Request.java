package loadbalancer.decision;

/** {@code costHintUs} is 0 where there is none; {@code remainingUs} is the time until the client gives up. */
public record Request(
        String id,
        long key,
        boolean repeat,
        boolean write,
        double costHintUs,
        long remainingUs,
        String tenant,
        String requestClass) {}
