package loadbalancer.simulation;

import java.util.ArrayDeque;
import java.util.Arrays;
import loadbalancer.decision.Endpoint;
import loadbalancer.decision.EndpointState;

/**
 * A model of an endpoint: cores with one queue, slow start after each restart, and a check of the requests that arrive
 * during slow start against the overload budget of the settings. Times are microseconds of the fleet's clock.
 */
final class SimulatedEndpoint {
    private final String id;
    private final double[] coreFreeAtMicros = new double[FleetShape.CORES_PER_ENDPOINT];
    /** Arrival times of the last overload window. */
    private final ArrayDeque<Long> recentArrivals = new ArrayDeque<>();

    /** 0 if it started long ago and is not in slow start. */
    private long startedMicros;

    private double worstBudgetExcess = Double.NEGATIVE_INFINITY;
    private long slowStartRequests;
    private double slowStartCapacity;
    private long countedUntilMicros;

    SimulatedEndpoint(String id) {
        this.id = id;
    }

    /** The endpoint's entry in the endpoint list. */
    Endpoint listEntry() {
        return new Endpoint(id, FleetShape.ZONE, FleetShape.MACHINE_TYPE, 1, startedMicros, 1, EndpointState.READY);
    }

    /** Replaces the process by a new one under the same id: idle and in slow start. */
    void restart(long nowMicros) {
        startedMicros = nowMicros;
        countedUntilMicros = nowMicros;
        Arrays.fill(coreFreeAtMicros, nowMicros);
        recentArrivals.clear();
    }

    /** The part of its full capacity that the endpoint has at this time. */
    private double capacityRatio(double atMicros) {
        if (startedMicros == 0) {
            return 1;
        }
        double initialRatio = FleetShape.SLOW_START_INITIAL_RATIO;
        double ratio = initialRatio + (1 - initialRatio) * (atMicros - startedMicros) / FleetShape.SLOW_START_MICROS;
        return Math.min(1, ratio);
    }

    /** Accepts a request and returns the time at which it will be answered. */
    long accept(long nowMicros, double workMicros) {
        int core = firstFreeCore();
        double startMicros = Math.max(nowMicros, coreFreeAtMicros[core]);
        coreFreeAtMicros[core] = startMicros + workMicros / capacityRatio(startMicros);
        if (capacityRatio(nowMicros) < 1) {
            countSlowStartRequest(nowMicros);
        }
        return (long) coreFreeAtMicros[core];
    }

    private int firstFreeCore() {
        int first = 0;
        for (int core = 1; core < coreFreeAtMicros.length; core++) {
            first = coreFreeAtMicros[core] < coreFreeAtMicros[first] ? core : first;
        }
        return first;
    }

    /** Checks the window that ends now. Its budget is computed from the capacity at its start, where it is least. */
    private void countSlowStartRequest(long nowMicros) {
        slowStartRequests++;
        slowStartCapacity += capacityRatio(nowMicros)
                * FleetShape.CORES_PER_ENDPOINT
                / FleetShape.MEAN_WORK_MICROS
                * (nowMicros - countedUntilMicros);
        countedUntilMicros = nowMicros;
        recentArrivals.add(nowMicros);
        while (recentArrivals.peek() <= nowMicros - FleetShape.OVERLOAD_WINDOW_MICROS) {
            recentArrivals.poll();
        }
        double budget = FleetShape.OVERLOAD_MULTIPLE
                * capacityRatio(recentArrivals.peek())
                * FleetShape.CORES_PER_ENDPOINT
                * FleetShape.OVERLOAD_WINDOW_MICROS
                / FleetShape.MEAN_WORK_MICROS;
        worstBudgetExcess = Math.max(worstBudgetExcess, recentArrivals.size() - budget - 2 * Math.sqrt(budget) - 2);
    }

    /**
     * The largest difference, over all overload windows, between the requests in the window and N + 2 sqrt(N) + 2,
     * where N is the window's budget and the rest allows for chance. A real endpoint would fail if this were positive.
     */
    double worstBudgetExcess() {
        return worstBudgetExcess;
    }

    /** Requests that arrived during slow start. */
    long slowStartRequests() {
        return slowStartRequests;
    }

    /** Requests that it could have served during slow start, up to the arrival of the last one. */
    double slowStartCapacity() {
        return slowStartCapacity;
    }
}
