package loadbalancer.decision;

/**
 * One endpoint: its entry in the endpoint list, its routing weight, and the state that each rule keeps for it. The
 * state of a rule is written only by the class that declares its type.
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
    final OutlierDetector.Health health = new OutlierDetector.Health();
    final HealthChecks.CheckTimes healthChecks = new HealthChecks.CheckTimes();
    final IdleConnectionPolicy.ConnectionUse connections = new IdleConnectionPolicy.ConnectionUse();
    final SlowStartBudget.SentWork slowStartWork = new SlowStartBudget.SentWork();

    TrackedEndpoint(Endpoint listEntry, MachineTypeEstimate machineType) {
        id = listEntry.id();
        this.listEntry = listEntry;
        this.machineType = machineType;
        sharedOrder = StableHash.mix(id.hashCode(), 0);
    }

    /** Replaces the list entry. If the process has restarted, the estimates of the old one are reset. */
    void update(Endpoint newListEntry, int zoneIndex) {
        if (newListEntry.startedMicros() != listEntry.startedMicros()) {
            deviation.reset();
            health.reset();
            connections.reset();
        }
        listEntry = newListEntry;
        this.zoneIndex = zoneIndex;
        ready = newListEntry.state() == EndpointState.READY;
        removed = newListEntry.state() == EndpointState.REMOVED;
    }

    void markRemoved() {
        ready = false;
        removed = true;
    }

    /** Sets the zone's index under new settings. */
    void setZoneIndex(int zoneIndex) {
        this.zoneIndex = zoneIndex;
    }

    /** Called by {@link RoutingTable} alone. */
    void setRoutingWeight(double weight) {
        routingWeight = weight;
    }

    String id() {
        return id;
    }

    MachineTypeEstimate machineType() {
        return machineType;
    }

    /** The endpoint's entry in the endpoint list. */
    Endpoint listEntry() {
        return listEntry;
    }

    /** Sort key, computed from the id, of an order that all sidecars share. */
    int sharedOrder() {
        return sharedOrder;
    }

    /** The index of its zone in the settings; 0 where they do not name it. */
    int zoneIndex() {
        return zoneIndex;
    }

    boolean isReady() {
        return ready;
    }

    /** Whether it is no longer listed and kept only for its attempts in flight. */
    boolean isRemoved() {
        return removed;
    }

    /**
     * Whether it is removed and has no attempt in flight. Its replacement has another id, so keeping it is of no use.
     */
    boolean isDiscardable() {
        return removed && attempts.isEmpty();
    }

    /** Its probability in a draw, relative to the others: {@code p_i / k_i} of Eq. (4). */
    double routingWeight() {
        return routingWeight;
    }

    /** Time for work that takes a standard core one unit: the machine type's, times the endpoint's deviation. */
    double speedFactor() {
        return machineType.speedFactor() * deviation.ratio();
    }

    /** Attempts of this sidecar that are in flight here. */
    int localInFlight() {
        return attempts.size();
    }
}
