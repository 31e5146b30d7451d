package loadbalancer.decision;

/** One line of the list. {@code startedUs} is 0 where it started long ago. */
public record Endpoint(
        String id, String zone, String kind, int cell, long startedUs, double weight, EndpointState state) {}
