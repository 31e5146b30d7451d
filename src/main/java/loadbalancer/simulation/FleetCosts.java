package loadbalancer.simulation;

import java.util.stream.IntStream;

/** What a simulated fleet of one shape says of words, of estimates and of how it is served, calm and after faults. */
final class FleetCosts {
    /** A module says its estimates every 5 s: each has, shortly after that. */
    private static final double SETTLED_S = 5.5;

    private final FleetShape shape;
    private final CsvRows rows;

    FleetCosts(FleetShape shape, CsvRows rows) {
        this.shape = shape;
        this.rows = rows;
    }

    void measure() {
        SimulatedFleet fleet = new SimulatedFleet(shape);
        fleet.play(SETTLED_S);
        long words = fleet.words();
        long bytes = fleet.wordBytes();
        rates(fleet, "calm");
        rows.add("words sent by a sidecar", shape, words / SETTLED_S / shape.sidecars(), "1/s", "model");
        rows.add("bytes sent by a sidecar", shape, bytes / SETTLED_S / shape.sidecars(), "B/s", "model");
        rows.add("served in time (calm)", shape, fleet.servedPart(), "part", "model");
        IntStream.range(0, shape.sidecars()).filter(i -> i % 10 < 7).forEach(fleet::restartSidecar);
        fleet.play(SETTLED_S);
        rates(fleet, "70 % restarted at once");
    }

    private void rates(SimulatedFleet fleet, String when) {
        double[] off = fleet.rateErrors();
        if (off.length > 0) {
            rows.add("fleet rate off in the median (" + when + ")", shape, off[off.length / 2], "part", "model");
            rows.add("fleet rate off at worst (" + when + ")", shape, off[off.length - 1], "part", "model");
        }
    }
}
