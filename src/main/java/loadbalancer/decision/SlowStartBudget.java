package loadbalancer.decision;

import loadbalancer.settings.EndpointRules;

/**
 * Limits the work that this sidecar sends to an endpoint in slow start, so that the load from all sidecars together
 * stays below the load that counts as overload.
 *
 * <p>The time since the endpoint's start is divided into slots of half an overload window. A window overlaps up to
 * three slots, so the sidecars together may send a third of the window's budget in each slot, counted in requests of
 * mean work. The slot's budget is divided equally among the sidecars. In each slot, every sidecar has a turn: its
 * position in an order computed from the sidecar's index, the endpoint and the slot. The sidecars with the first turns
 * get the remainder of the division. If load is not sampled and the budget has fewer requests than there are sidecars,
 * the number of sidecars that may send is computed from the expected draws instead, because most sidecars do not draw
 * the endpoint in the slot. If load is sampled, the turns start one after another within the slot, so that each sidecar
 * sees the effect of the previous one, and the budget of a slot is twice as large.
 */
final class SlowStartBudget {
    /** Fraction of the budget that is used; the rest is a safety margin because the work of requests is estimated. */
    private static final double BUDGET_RATIO = 0.9;

    /** Number of slots that a window may overlap; the window's budget is divided by it. */
    private static final double BUDGET_DIVISOR = 3;
    /** Divisor of the window's budget if load is sampled. */
    private static final double SAMPLED_BUDGET_DIVISOR = 1.5;
    /** Length of the overload window whose slots (half a window each) last one second. */
    private static final double ONE_SECOND_SLOT_WINDOW_MICROS = 2 * RateMath.MICROS_PER_SECOND;
    /**
     * If load is sampled, the turns of the sidecars that may send start within the first part of the slot, whose length
     * is that of the window divided by this.
     */
    private static final int TURN_SPREAD_DIVISOR = 4;

    private final PolicySettings settings;
    private final SlowStart slowStart;
    private final WorkEstimator work;
    private final RequestRateEstimator rates;
    private final RoutingTable routingTable;

    /** The work that this sidecar has sent to an endpoint in the latest slot with a send. */
    static final class SentWork {
        private long slot;
        private double workMicros;
    }

    SlowStartBudget(
            PolicySettings settings,
            SlowStart slowStart,
            WorkEstimator work,
            RequestRateEstimator rates,
            RoutingTable routingTable) {
        this.settings = settings;
        this.slowStart = slowStart;
        this.work = work;
        this.rates = rates;
        this.routingTable = routingTable;
    }

    /**
     * Returns whether the budget allows sending a request now; always true outside slow start. In slow start, a request
     * with more than {@link WorkEstimator#MAX_MEAN_RATIO} times the mean work is never allowed. The first request that
     * this sidecar sends in a slot may exceed its budget.
     *
     * @param workMicros expected work of the request, in microseconds of a standard core
     */
    boolean allows(TrackedEndpoint endpoint, double workMicros, long nowMicros) {
        if (slowStart.capacityRatio(endpoint, nowMicros) >= 1) {
            return true;
        }
        long slot = slot(endpoint, nowMicros);
        long slotStartMicros = endpoint.listEntry().startedMicros() + slot * slotMicros();
        long fleetBudgetRequests = fleetBudgetRequests(endpoint, slotStartMicros);
        long turn = Math.floorMod(
                settings.sidecarIndex() - StableHash.mix(endpoint.id().hashCode(), (int) slot),
                settings.sidecarCount());
        long localBudgetRequests = localBudgetRequests(endpoint, fleetBudgetRequests, turn);
        long turnStartMicros = slotStartMicros + turn * turnSpacingMicros(fleetBudgetRequests);
        if (localBudgetRequests <= 0 || nowMicros < turnStartMicros) {
            return false;
        }
        if (workMicros > WorkEstimator.MAX_MEAN_RATIO * work.meanWorkMicros()) {
            return false;
        }
        SentWork sent = endpoint.slowStartWork;
        double sentMicros = sent.slot == slot ? sent.workMicros : 0;
        return sentMicros == 0 || sentMicros + workMicros <= localBudgetRequests * work.meanWorkMicros();
    }

    /** Adds the work of a sent request to the current slot. */
    void recordSend(TrackedEndpoint endpoint, double workMicros, long nowMicros) {
        SentWork sent = endpoint.slowStartWork;
        long slot = slot(endpoint, nowMicros);
        sent.workMicros = workMicros + (slot == sent.slot ? sent.workMicros : 0);
        sent.slot = slot;
    }

    private long slot(TrackedEndpoint endpoint, long nowMicros) {
        return Math.max(0, nowMicros - endpoint.listEntry().startedMicros()) / slotMicros();
    }

    /** Returns the length of a slot, at least 1 even if the settings have no overload window. */
    private long slotMicros() {
        return Math.max(1, settings.rules().overloadWindowMicros() / 2);
    }

    /** Returns the number of requests of mean work that all sidecars together may send in the slot. */
    private long fleetBudgetRequests(TrackedEndpoint endpoint, long slotStartMicros) {
        EndpointRules rules = settings.rules();
        MachineTypeEstimate machineType = endpoint.machineType();
        double standardCores = slowStart.capacityRatio(endpoint, slotStartMicros)
                * Math.max(1, machineType.cores())
                / machineType.speedFactor();
        double windowBudgetMicros =
                BUDGET_RATIO * rules.overloadMultiple() * standardCores * rules.overloadWindowMicros();
        double divisor = settings.samplesLoad() ? SAMPLED_BUDGET_DIVISOR : BUDGET_DIVISOR;
        return (long) (windowBudgetMicros / divisor / work.meanWorkMicros());
    }

    /** Returns the number of requests of mean work that this sidecar may send in the slot. */
    private long localBudgetRequests(TrackedEndpoint endpoint, long fleetBudgetRequests, long turn) {
        int sidecarCount = settings.sidecarCount();
        if (!settings.samplesLoad() && fleetBudgetRequests < sidecarCount) {
            return turn < sendingSidecarCount(endpoint, fleetBudgetRequests)
                    ? maxRequestsPerTurn(fleetBudgetRequests)
                    : 0;
        }
        return fleetBudgetRequests / sidecarCount + (turn < fleetBudgetRequests % sidecarCount ? 1 : 0);
    }

    /** Returns the time between the starts of two consecutive turns; 0 if load is not sampled. */
    private long turnSpacingMicros(long fleetBudgetRequests) {
        if (!settings.samplesLoad()) {
            return 0;
        }
        return settings.rules().overloadWindowMicros() / TURN_SPREAD_DIVISOR / Math.max(1, fleetBudgetRequests);
    }

    /**
     * Returns the maximum number of requests that this sidecar sends in its turn: its fraction, by request rate, of the
     * slot's requests, plus one.
     */
    private long maxRequestsPerTurn(long fleetBudgetRequests) {
        return 1 + (long) RateMath.safeDivide(fleetBudgetRequests * rates.localPerSecond(), rates.fleetPerSecond());
    }

    /**
     * Returns how many sidecars may send in a slot whose budget has fewer requests than there are sidecars. Most
     * sidecars do not draw the endpoint during the slot. The number is therefore computed so that the expected draws,
     * limited to the maximum that each sidecar sends, add up to the slot's budget. The endpoint is assumed to be idle,
     * so that it is selected whenever it is one of the two drawn endpoints.
     */
    private double sendingSidecarCount(TrackedEndpoint endpoint, long fleetBudgetRequests) {
        double fleetRatePerSecond = rates.fleetPerSecond();
        double drawsInSlot =
                2 * fleetRatePerSecond * settings.rules().overloadWindowMicros() / ONE_SECOND_SLOT_WINDOW_MICROS;
        double fleetDraws = RateMath.safeDivide(drawsInSlot * endpoint.routingWeight(), routingTable.weightSum());
        double localDraws = RateMath.safeDivide(fleetDraws * rates.localPerSecond(), fleetRatePerSecond);
        double expectedSends =
                fleetDraws * Math.min(1, RateMath.safeDivide(maxRequestsPerTurn(fleetBudgetRequests), localDraws));
        return RateMath.safeDivide(settings.sidecarCount() * fleetBudgetRequests, expectedSends);
    }
}
