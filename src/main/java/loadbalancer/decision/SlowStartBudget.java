package loadbalancer.decision;

import loadbalancer.settings.EndpointRules;

/**
 * Limits what this sidecar sends to an endpoint in slow start, so that all sidecars together stay below the load that
 * counts as overload. Half an overload window is a slot. In each slot the sidecars may send as many mean requests as a
 * third of the window's budget holds, since a window meets three slots: each an equal part, and what is left over by
 * turns of sidecar number, endpoint and slot. Where load reports are sampled, the turns come one after another in the
 * slot, so that each sees the effect of the last, and the budget is twice as large.
 */
final class SlowStartBudget {
    /** Costs are estimates: a part of the budget stays unused. */
    private static final double BUDGET_RATIO = 0.9;

    private static final double SLOTS_PER_WINDOW = 3;
    private static final double SLOTS_PER_WINDOW_SAMPLED = 1.5;
    /** A slot is half a window. */
    private static final double WINDOW_MICROS_PER_SLOT_SECOND = 2 * RateMath.MICROS_PER_SECOND;
    /** Sampled turns are spread over this part of a window. */
    private static final int TURN_SPREAD_DIVISOR = 4;

    private final PolicySettings settings;
    private final SlowStart slowStart;
    private final WorkEstimator work;
    private final RequestRateEstimator rates;
    private final RoutingTable routing;

    /** The work that this sidecar sent an endpoint in the latest slot. */
    static final class SentWork {
        private long slot;
        private double workMicros;
    }

    SlowStartBudget(
            PolicySettings settings,
            SlowStart slowStart,
            WorkEstimator work,
            RequestRateEstimator rates,
            RoutingTable routing) {
        this.settings = settings;
        this.slowStart = slowStart;
        this.work = work;
        this.rates = rates;
        this.routing = routing;
    }

    /** Whether the endpoint may be sent so much work now; always where it is not in slow start. */
    boolean allows(TrackedEndpoint endpoint, double workMicros, long nowMicros) {
        if (slowStart.capacityRatio(endpoint, nowMicros) >= 1) {
            return true;
        }
        long slot = slot(endpoint, nowMicros);
        long slotStartMicros = endpoint.listing().startedMicros() + slot * slotMicros();
        long fleetRequests = fleetRequests(endpoint, slotStartMicros);
        long turn = Math.floorMod(
                settings.sidecarIndex() - SharedHash.mix(endpoint.id().hashCode(), (int) slot),
                settings.sidecarCount());
        long localRequests = localRequests(endpoint, fleetRequests, turn);
        long turnMicros = slotStartMicros + turn * turnSpacingMicros(fleetRequests);
        if (localRequests <= 0 || nowMicros < turnMicros) {
            return false;
        }
        if (workMicros > WorkEstimator.MAX_MEAN_RATIO * work.meanWorkMicros()) {
            return false;
        }
        SentWork sent = endpoint.slowStartWork;
        double sentMicros = sent.slot == slot ? sent.workMicros : 0;
        return sentMicros == 0 || sentMicros + workMicros <= localRequests * work.meanWorkMicros();
    }

    /** Counts work that was sent. */
    void recordSend(TrackedEndpoint endpoint, double workMicros, long nowMicros) {
        SentWork sent = endpoint.slowStartWork;
        long slot = slot(endpoint, nowMicros);
        sent.workMicros = workMicros + (slot == sent.slot ? sent.workMicros : 0);
        sent.slot = slot;
    }

    private long slot(TrackedEndpoint endpoint, long nowMicros) {
        return Math.max(0, nowMicros - endpoint.listing().startedMicros()) / slotMicros();
    }

    private long slotMicros() {
        return settings.rules().overloadWindowMicros() / 2;
    }

    /** Mean requests that all sidecars together may send in the slot. */
    private long fleetRequests(TrackedEndpoint endpoint, long slotStartMicros) {
        EndpointRules rules = settings.rules();
        MachineTypeEstimate machineType = endpoint.machineType();
        double capacity = slowStart.capacityRatio(endpoint, slotStartMicros)
                * Math.max(1, machineType.cores())
                / machineType.speedFactor();
        double windowBudgetMicros = BUDGET_RATIO * rules.overloadMultiple() * capacity * rules.overloadWindowMicros();
        double slots = settings.samplesLoad() ? SLOTS_PER_WINDOW_SAMPLED : SLOTS_PER_WINDOW;
        return (long) (windowBudgetMicros / slots / work.meanWorkMicros());
    }

    /** This sidecar's part of the slot's requests. */
    private long localRequests(TrackedEndpoint endpoint, long fleetRequests, long turn) {
        int sidecars = settings.sidecarCount();
        if (!settings.samplesLoad() && fleetRequests < sidecars) {
            return turn < turns(endpoint, fleetRequests) ? maxRequestsPerTurn(fleetRequests) : 0;
        }
        return fleetRequests / sidecars + (turn < fleetRequests % sidecars ? 1 : 0);
    }

    private long turnSpacingMicros(long fleetRequests) {
        if (!settings.samplesLoad()) {
            return 0;
        }
        return settings.rules().overloadWindowMicros() / TURN_SPREAD_DIVISOR / Math.max(1, fleetRequests);
    }

    /** The most that this sidecar sends in a slot: by its part of the fleet's rate, and one more. */
    private long maxRequestsPerTurn(long fleetRequests) {
        return 1 + (long) RateMath.divide(fleetRequests * rates.localPerSecond(), rates.fleetPerSecond());
    }

    /**
     * How many sidecars have a turn in a slot with fewer requests than sidecars. Most would not draw the endpoint in
     * their turn: there are so many turns that what they draw, limited by the most that each sends, comes to the slot's
     * requests. An endpoint in slow start has nothing to do and so wins when it is one of the two drawn.
     */
    private double turns(TrackedEndpoint endpoint, long fleetRequests) {
        double fleetRate = rates.fleetPerSecond();
        double drawsInSlot = 2 * fleetRate * settings.rules().overloadWindowMicros() / WINDOW_MICROS_PER_SLOT_SECOND;
        double drawn = RateMath.divide(drawsInSlot * endpoint.routingWeight(), routing.weightSum());
        double drawnLocally = RateMath.divide(drawn * rates.localPerSecond(), fleetRate);
        double sent = drawn * Math.min(1, RateMath.divide(maxRequestsPerTurn(fleetRequests), drawnLocally));
        return RateMath.divide(settings.sidecarCount() * fleetRequests, sent);
    }
}
