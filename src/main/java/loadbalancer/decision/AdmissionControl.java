package loadbalancer.decision;

import java.util.SplittableRandom;

/**
 * Decides whether an arriving request is admitted. When the expected wait in the fleet's queues approaches the latency
 * objective, admitting all requests would make all of them late. Requests of low priority are shed first. The
 * probability of shedding rises linearly with the wait, so that the sidecars do not all start to shed at the same
 * moment.
 */
final class AdmissionControl {
    /** No request is shed while the expected wait is at most this fraction of the wait limit. */
    private static final double SHED_NONE_RATIO = 0.25;
    /** Every request is shed when the expected wait is at least this fraction of the wait limit. */
    private static final double SHED_ALL_RATIO = 0.75;

    private final PolicySettings settings;
    private final SplittableRandom random;
    private final FleetLoadEstimator fleetLoad;
    private final RoutingTable routingTable;

    AdmissionControl(
            PolicySettings settings, SplittableRandom random, FleetLoadEstimator fleetLoad, RoutingTable routingTable) {
        this.settings = settings;
        this.random = random;
        this.fleetLoad = fleetLoad;
        this.routingTable = routingTable;
    }

    /**
     * Returns whether to shed the request; always false if the fleet's capacity is 0. Compares the expected wait for a
     * free core with the request's wait limit: the shortest latency objective of the classes of the highest priority,
     * multiplied by the square root of the request's relative priority. Draws a random number unless the capacity is 0.
     */
    boolean shouldShed(long nowMicros, PendingRequest request) {
        double capacity = routingTable.capacityPerSecond();
        if (capacity <= 0) {
            return false;
        }
        double waitMicros =
                RateMath.MICROS_PER_SECOND * (fleetLoad.fleetInFlight(nowMicros) - routingTable.cores()) / capacity;
        double priority = settings.relativePriority(request.requestClass());
        double waitRatio = waitMicros / (settings.highestPriorityObjectiveMicros() * Math.sqrt(priority));
        return random.nextDouble() * (SHED_ALL_RATIO - SHED_NONE_RATIO) < waitRatio - SHED_NONE_RATIO;
    }
}
