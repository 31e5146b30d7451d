package loadbalancer.decision;

import java.util.Map;

/** Logs the estimates behind the routing table at regular intervals, in the form {@code event key=value ...}. */
final class EstimateLog {
    private static final long INTERVAL_MICROS = 5_000_000;

    private final LoadBalancerActions actions;
    private final Estimators estimators;
    private final RoutingComponents routing;
    private final RequestQueue queue;
    private long lastWrittenMicros;

    EstimateLog(
            LoadBalancerActions actions,
            Estimators estimators,
            RoutingComponents routing,
            RequestQueue queue,
            long nowMicros) {
        this.actions = actions;
        this.estimators = estimators;
        this.routing = routing;
        this.queue = queue;
        lastWrittenMicros = nowMicros;
    }

    void writeIfDue(long nowMicros) {
        if (nowMicros - lastWrittenMicros < INTERVAL_MICROS) {
            return;
        }
        lastWrittenMicros = nowMicros;
        StringBuilder line = new StringBuilder("estimates");
        appendFleet(line, nowMicros);
        for (Map.Entry<String, MachineTypeEstimate> machineType : routing.registry.machineTypeEntries()) {
            line.append(" machine_type=").append(machineType.getKey());
            append(line, "cores", roundToHundredths(machineType.getValue().cores()));
            append(
                    line,
                    "speed_factor",
                    roundToHundredths(machineType.getValue().speedFactor()));
        }
        for (TrackedEndpoint endpoint : routing.registry.ready()) {
            line.append(" endpoint=").append(endpoint.id());
            append(line, "local_in_flight", endpoint.localInFlight());
            append(line, "deviation", roundToHundredths(endpoint.deviation.ratio()));
            line.append(" state=").append(state(endpoint, nowMicros));
        }
        actions.log(line.toString());
    }

    private void appendFleet(StringBuilder line, long nowMicros) {
        append(line, "local_rate_per_second", Math.round(estimators.rates.localPerSecond()));
        append(line, "fleet_rate_per_second", Math.round(estimators.rates.fleetPerSecond()));
        append(line, "queued_requests", queue.size());
        append(line, "local_in_flight", Math.round(routing.fleetLoad.localInFlight(nowMicros)));
        append(line, "fleet_in_flight", Math.round(routing.fleetLoad.fleetInFlight(nowMicros)));
        append(line, "cores", Math.round(routing.table.cores()));
        append(line, "live_peers", routing.fleetLoad.livePeers());
        append(line, "mean_work_micros", Math.round(estimators.work.meanWorkMicros()));
    }

    private String state(TrackedEndpoint endpoint, long nowMicros) {
        if (OutlierDetector.isEjected(endpoint, nowMicros)) {
            return "ejected";
        }
        return estimators.slowStart.capacityRatio(endpoint, nowMicros) < 1 ? "slow_start" : "ready";
    }

    private static void append(StringBuilder line, String key, long value) {
        line.append(' ').append(key).append('=').append(value);
    }

    private static void append(StringBuilder line, String key, double value) {
        line.append(' ').append(key).append('=').append(value);
    }

    private static double roundToHundredths(double value) {
        return Math.round(value * 100) / 100.0;
    }
}
