package loadbalancer.decision;

/**
 * One entry of an endpoint list.
 *
 * @param id stable name of the endpoint; a restarted endpoint keeps it
 * @param zone availability zone; a zone that is missing from the settings is treated as the first one there
 * @param machineType endpoints of one machine type have about the same speed and number of cores
 * @param cell number of the endpoint's cell, the smallest deduplication scope; {@link #NO_CELL} if unknown
 * @param startedMicros time of the endpoint's latest start on the clock of the decision module; 0 if it started long
 *     ago or the time is unknown
 * @param weight weight from the endpoint list, relative to other endpoints and without a unit; no rule uses it
 * @param state whether the endpoint accepts requests
 */
public record Endpoint(
        String id, String zone, String machineType, int cell, long startedMicros, double weight, EndpointState state) {
    /** The cell of an endpoint whose cell is unknown. */
    public static final int NO_CELL = -1;

    /** Returns a copy with another start time. */
    public Endpoint withStartedMicros(long newStartedMicros) {
        return new Endpoint(id, zone, machineType, cell, newStartedMicros, weight, state);
    }
}
