package loadbalancer.simulation;

import java.util.ArrayDeque;
import java.util.Arrays;
import loadbalancer.decision.Endpoint;
import loadbalancer.decision.EndpointState;

/**
 * A model of an endpoint that has several cores with one queue and that is in slow start after each restart. It
 * compares the requests that arrive during slow start with the overload budget of the settings. Times are microseconds
 * of the fleet's clock.
 */
final class SimulatedEndpoint {
    private final String id;
    private final double[] coreIdleAtMicros = new double[FleetParameters.CORES_PER_ENDPOINT];
    /** Arrival times within the latest overload window. */
    private final ArrayDeque<Long> recentArrivals = new ArrayDeque<>();

    /** Time of the latest restart; 0 if the endpoint has not restarted and is therefore not in slow start. */
    private long startedMicros;

    private double maxBudgetExcess = Double.NEGATIVE_INFINITY;
    private long slowStartRequests;
    private double slowStartCapacity;
    private long capacityCountedUntilMicros;

    SimulatedEndpoint(String id) {
        this.id = id;
    }

    /** Returns the entry of this endpoint in the endpoint list. */
    Endpoint listEntry() {
        return new Endpoint(
                id, FleetParameters.ZONE, FleetParameters.MACHINE_TYPE, 1, startedMicros, 1, EndpointState.READY);
    }

    /** Replaces the endpoint's process by a new one with the same id, which is idle and in slow start. */
    void restart(long nowMicros) {
        startedMicros = nowMicros;
        capacityCountedUntilMicros = nowMicros;
        Arrays.fill(coreIdleAtMicros, nowMicros);
        recentArrivals.clear();
    }

    /** Returns the capacity of the endpoint at this time, as a fraction of its full capacity. */
    private double capacityRatio(double atMicros) {
        if (startedMicros == 0) {
            return 1;
        }
        double initialRatio = FleetParameters.SLOW_START_INITIAL_RATIO;
        double ratio =
                initialRatio + (1 - initialRatio) * (atMicros - startedMicros) / FleetParameters.SLOW_START_MICROS;
        return Math.min(1, ratio);
    }

    /**
     * Accepts a request and returns the time of its response. {@code workMicros} is the time that the request takes on
     * one core at full capacity.
     */
    long accept(long nowMicros, double workMicros) {
        int core = firstIdleCore();
        double startMicros = Math.max(nowMicros, coreIdleAtMicros[core]);
        coreIdleAtMicros[core] = startMicros + workMicros / capacityRatio(startMicros);
        if (capacityRatio(nowMicros) < 1) {
            countSlowStartRequest(nowMicros);
        }
        return (long) coreIdleAtMicros[core];
    }

    private int firstIdleCore() {
        int first = 0;
        for (int core = 1; core < coreIdleAtMicros.length; core++) {
            first = coreIdleAtMicros[core] < coreIdleAtMicros[first] ? core : first;
        }
        return first;
    }

    /**
     * Counts a request and compares the overload window that ends now with its budget. The budget is computed from the
     * capacity at the first arrival in the window, when the capacity is lowest.
     */
    private void countSlowStartRequest(long nowMicros) {
        slowStartRequests++;
        slowStartCapacity += capacityRatio(nowMicros)
                * FleetParameters.CORES_PER_ENDPOINT
                / FleetParameters.MEAN_WORK_MICROS
                * (nowMicros - capacityCountedUntilMicros);
        capacityCountedUntilMicros = nowMicros;
        recentArrivals.add(nowMicros);
        while (recentArrivals.peek() <= nowMicros - FleetParameters.OVERLOAD_WINDOW_MICROS) {
            recentArrivals.poll();
        }
        double budget = FleetParameters.OVERLOAD_MULTIPLE
                * capacityRatio(recentArrivals.peek())
                * FleetParameters.CORES_PER_ENDPOINT
                * FleetParameters.OVERLOAD_WINDOW_MICROS
                / FleetParameters.MEAN_WORK_MICROS;
        maxBudgetExcess = Math.max(maxBudgetExcess, recentArrivals.size() - budget - 2 * Math.sqrt(budget) - 2);
    }

    /**
     * Returns the maximum over all overload windows of the requests in the window minus (N + 2 sqrt(N) + 2), where N is
     * the budget of the window and the other terms allow for random variation. A real endpoint would fail if the result
     * were positive. Returns negative infinity if no request has arrived during slow start.
     */
    double maxBudgetExcess() {
        return maxBudgetExcess;
    }

    /** Returns the number of requests that arrived during slow start. */
    long slowStartRequests() {
        return slowStartRequests;
    }

    /**
     * Returns the number of requests that the endpoint could have served during slow start, up to the latest arrival.
     */
    double slowStartCapacity() {
        return slowStartCapacity;
    }
}
