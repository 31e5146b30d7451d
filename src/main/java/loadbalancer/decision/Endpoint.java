package loadbalancer.decision;

/** One line of the list. {@code startedMicros} is 0 where it started long ago. */
public record Endpoint(
        String id, String zone, String machineType, int cell, long startedMicros, double weight, EndpointState state) {}
