package loadbalancer.decision;

/**
 * One endpoint: its entry in the endpoint list, its routing weight, and the state that other classes keep for it. Only
 * the class that declares a state type writes that state, except for the resets in {@link #update}.
 */
final class TrackedEndpoint {
    private final String id;
    private final MachineTypeEstimate machineType;
    private final int sharedOrder;
    private Endpoint listEntry;
    private boolean ready;
    private boolean removed;
    private int zoneIndex;
    private double routingWeight;

    final InFlightAttempts.PerEndpoint attempts = new InFlightAttempts.PerEndpoint();
    final SpeedEstimator.Deviation deviation = new SpeedEstimator.Deviation();
    final LoadEstimator.ReportedLoad reportedLoad = new LoadEstimator.ReportedLoad();
    final OutlierDetector.FailureHistory failureHistory = new OutlierDetector.FailureHistory();
    final HealthChecks.CheckTimes healthChecks = new HealthChecks.CheckTimes();
    final IdleConnectionPolicy.ConnectionUse connections = new IdleConnectionPolicy.ConnectionUse();
    final SlowStartBudget.SentWork slowStartWork = new SlowStartBudget.SentWork();

    TrackedEndpoint(Endpoint listEntry, MachineTypeEstimate machineType) {
        id = listEntry.id();
        this.listEntry = listEntry;
        this.machineType = machineType;
        sharedOrder = StableHash.mix(id.hashCode(), 0);
    }

    /**
     * Replaces the list entry. If the endpoint has restarted, resets the deviation, failure history and connection
     * state of the previous process. Called only by {@link EndpointRegistry}.
     */
    void update(Endpoint newListEntry, int zoneIndex) {
        if (newListEntry.startedMicros() != listEntry.startedMicros()) {
            deviation.reset();
            failureHistory.reset();
            connections.reset();
        }
        listEntry = newListEntry;
        this.zoneIndex = zoneIndex;
        ready = newListEntry.state() == EndpointState.READY;
        removed = newListEntry.state() == EndpointState.REMOVED;
    }

    /** Marks an endpoint that the latest list does not contain. Called only by {@link EndpointRegistry}. */
    void markRemoved() {
        ready = false;
        removed = true;
    }

    /** Sets the index of the endpoint's zone in new settings. Called only by {@link EndpointRegistry}. */
    void setZoneIndex(int zoneIndex) {
        this.zoneIndex = zoneIndex;
    }

    /** Sets the routing weight. Called only by {@link RoutingTable}. */
    void setRoutingWeight(double weight) {
        routingWeight = weight;
    }

    String id() {
        return id;
    }

    MachineTypeEstimate machineType() {
        return machineType;
    }

    /** Returns the endpoint's latest entry in the endpoint list. */
    Endpoint listEntry() {
        return listEntry;
    }

    /** Returns a sort key computed from the id; it gives the same order on all sidecars. */
    int sharedOrder() {
        return sharedOrder;
    }

    /** Returns the index of the endpoint's zone in the settings, or 0 if the settings do not list it. */
    int zoneIndex() {
        return zoneIndex;
    }

    boolean isReady() {
        return ready;
    }

    /** Returns whether the endpoint is no longer listed and is kept only for its attempts in flight. */
    boolean isRemoved() {
        return removed;
    }

    /**
     * Returns whether the endpoint is removed and has no attempt in flight. It can then be discarded, because its
     * replacement has another id.
     */
    boolean isDiscardable() {
        return removed && attempts.isEmpty();
    }

    /** Returns the endpoint's probability in a draw relative to the other endpoints: {@code p_i / k_i} of Eq. (4). */
    double routingWeight() {
        return routingWeight;
    }

    /**
     * Returns the service time relative to a standard core: the speed factor of the machine type, multiplied by the
     * endpoint's deviation.
     */
    double speedFactor() {
        return machineType.speedFactor() * deviation.ratio();
    }

    /** Returns the number of this sidecar's attempts in flight to the endpoint. */
    int localInFlight() {
        return attempts.size();
    }
}
