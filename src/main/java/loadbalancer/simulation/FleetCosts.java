package loadbalancer.simulation;

import java.util.stream.IntStream;

/**
 * Measures gossip, rate estimates and served requests of a simulated fleet, and rate estimates after a mass restart.
 */
final class FleetCosts {
    /** Modules log their estimates every 5 s; after this time each has logged once. */
    private static final double SETTLING_SECONDS = 5.5;

    private final FleetShape shape;
    private final CsvRows rows;

    FleetCosts(FleetShape shape, CsvRows rows) {
        this.shape = shape;
        this.rows = rows;
    }

    void measure() {
        SimulatedFleet fleet = new SimulatedFleet(shape);
        fleet.run(SETTLING_SECONDS);
        long messages = fleet.gossipMessages();
        long bytes = fleet.gossipBytes();
        addRateErrors(fleet, "calm");
        add("words sent by a sidecar", messages / SETTLING_SECONDS / shape.sidecarCount(), "1/s");
        add("bytes sent by a sidecar", bytes / SETTLING_SECONDS / shape.sidecarCount(), "B/s");
        add("served in time (calm)", fleet.servedRatio(), "part");
        IntStream.range(0, shape.sidecarCount()).filter(i -> i % 10 < 7).forEach(fleet::restartSidecar);
        fleet.run(SETTLING_SECONDS);
        addRateErrors(fleet, "70 % restarted at once");
    }

    private void addRateErrors(SimulatedFleet fleet, String situation) {
        double[] errors = fleet.rateEstimateErrors();
        if (errors.length > 0) {
            add("fleet rate off in the median (" + situation + ")", errors[errors.length / 2], "part");
            add("fleet rate off at worst (" + situation + ")", errors[errors.length - 1], "part");
        }
    }

    private void add(String measure, double value, String unit) {
        rows.add(measure, shape, value, unit, CsvRows.Source.FLEET);
    }
}
