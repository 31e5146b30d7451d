package loadbalancer.simulation;

import java.util.stream.IntStream;

/**
 * Measures the gossip traffic, the rate estimates and the served requests of a simulated fleet, and its rate estimates
 * after most of the sidecars have restarted at the same time.
 */
final class FleetCosts {
    /** Decision modules log their estimates every 5 s; after this time each has logged them at least once. */
    private static final double SETTLING_SECONDS = 5.5;

    private final FleetParameters parameters;
    private final CsvRows rows;

    FleetCosts(FleetParameters parameters, CsvRows rows) {
        this.parameters = parameters;
        this.rows = rows;
    }

    void measure() {
        SimulatedFleet fleet = new SimulatedFleet(parameters);
        fleet.run(SETTLING_SECONDS);
        long messages = fleet.gossipMessages();
        long bytes = fleet.gossipBytes();
        addRateErrors(fleet, "calm");
        add("words sent by a sidecar", messages / SETTLING_SECONDS / parameters.sidecarCount(), "1/s");
        add("bytes sent by a sidecar", bytes / SETTLING_SECONDS / parameters.sidecarCount(), "B/s");
        add("served in time (calm)", fleet.servedRatio(), "part");
        IntStream.range(0, parameters.sidecarCount()).filter(i -> i % 10 < 7).forEach(fleet::restartSidecar);
        fleet.run(SETTLING_SECONDS);
        addRateErrors(fleet, "70 % restarted at once");
    }

    private void addRateErrors(SimulatedFleet fleet, String phase) {
        double[] errors = fleet.rateEstimateErrors();
        if (errors.length > 0) {
            add("fleet rate off in the median (" + phase + ")", errors[errors.length / 2], "part");
            add("fleet rate off at worst (" + phase + ")", errors[errors.length - 1], "part");
        }
    }

    private void add(String measure, double value, String unit) {
        rows.add(measure, parameters, value, unit, CsvRows.Source.FLEET);
    }
}
