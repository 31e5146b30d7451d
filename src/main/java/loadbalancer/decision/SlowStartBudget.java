package loadbalancer.decision;

import loadbalancer.settings.EndpointRules;

/**
 * Limits what this sidecar sends to an endpoint in slow start, so that all sidecars together stay below the load that
 * counts as overload.
 *
 * <p>Time since the endpoint's start is divided into slots of half an overload window. A window overlaps up to three
 * slots, so the sidecars together may send a third of the window's budget in each slot, counted in requests of mean
 * work. Each sidecar gets an equal part; the remainder is given out in turns, whose order is computed from the
 * sidecar's index, the endpoint and the slot. Where load reports are sampled, the turns follow one another within the
 * slot, so that each sidecar sees the effect of the one before, and the budget of a slot is twice as large.
 */
final class SlowStartBudget {
    /** The part of the budget that is used; the rest is a margin because the work of requests is an estimate. */
    private static final double BUDGET_RATIO = 0.9;

    private static final double SLOTS_PER_WINDOW = 3;
    private static final double SLOTS_PER_WINDOW_SAMPLED = 1.5;
    /** Overload window, in microseconds, whose slot (half the window) lasts one second. */
    private static final double WINDOW_MICROS_PER_SLOT_SECOND = 2 * RateMath.MICROS_PER_SECOND;
    /** Where load reports are sampled, the turns of a slot are spread over the window divided by this. */
    private static final int TURN_SPREAD_DIVISOR = 4;

    private final PolicySettings settings;
    private final SlowStart slowStart;
    private final WorkEstimator work;
    private final RequestRateEstimator rates;
    private final RoutingTable routingTable;

    /** The work that this sidecar sent to an endpoint in the latest slot. */
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

    /** Whether the endpoint may be sent a request of this work now; always true outside slow start. */
    boolean allows(TrackedEndpoint endpoint, double workMicros, long nowMicros) {
        if (slowStart.capacityRatio(endpoint, nowMicros) >= 1) {
            return true;
        }
        long slot = slot(endpoint, nowMicros);
        long slotStartMicros = endpoint.listEntry().startedMicros() + slot * slotMicros();
        long fleetRequests = fleetRequests(endpoint, slotStartMicros);
        long turn = Math.floorMod(
                settings.sidecarIndex() - StableHash.mix(endpoint.id().hashCode(), (int) slot),
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

    /** Adds sent work to the current slot. */
    void recordSend(TrackedEndpoint endpoint, double workMicros, long nowMicros) {
        SentWork sent = endpoint.slowStartWork;
        long slot = slot(endpoint, nowMicros);
        sent.workMicros = workMicros + (slot == sent.slot ? sent.workMicros : 0);
        sent.slot = slot;
    }

    private long slot(TrackedEndpoint endpoint, long nowMicros) {
        return Math.max(0, nowMicros - endpoint.listEntry().startedMicros()) / slotMicros();
    }

    private long slotMicros() {
        return settings.rules().overloadWindowMicros() / 2;
    }

    /** Requests of mean work that all sidecars together may send in the slot. */
    private long fleetRequests(TrackedEndpoint endpoint, long slotStartMicros) {
        EndpointRules rules = settings.rules();
        MachineTypeEstimate machineType = endpoint.machineType();
        double standardCores = slowStart.capacityRatio(endpoint, slotStartMicros)
                * Math.max(1, machineType.cores())
                / machineType.speedFactor();
        double windowBudgetMicros =
                BUDGET_RATIO * rules.overloadMultiple() * standardCores * rules.overloadWindowMicros();
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

    /** Most requests that this sidecar sends in its turn: its part, by rate, of the slot's requests, and one more. */
    private long maxRequestsPerTurn(long fleetRequests) {
        return 1 + (long) RateMath.safeDivide(fleetRequests * rates.localPerSecond(), rates.fleetPerSecond());
    }

    /**
     * How many sidecars have a turn in a slot with fewer requests than sidecars. Most sidecars do not draw the endpoint
     * during their turn. The number of turns is therefore chosen so that the expected draws, limited by the most that
     * each sidecar sends, add up to the slot's requests. The endpoint is assumed idle, so that it is chosen whenever it
     * is one of the two drawn.
     */
    private double turns(TrackedEndpoint endpoint, long fleetRequests) {
        double fleetRate = rates.fleetPerSecond();
        double drawsInSlot = 2 * fleetRate * settings.rules().overloadWindowMicros() / WINDOW_MICROS_PER_SLOT_SECOND;
        double drawn = RateMath.safeDivide(drawsInSlot * endpoint.routingWeight(), routingTable.weightSum());
        double drawnLocally = RateMath.safeDivide(drawn * rates.localPerSecond(), fleetRate);
        double sent = drawn * Math.min(1, RateMath.safeDivide(maxRequestsPerTurn(fleetRequests), drawnLocally));
        return RateMath.safeDivide(settings.sidecarCount() * fleetRequests, sent);
    }
}
