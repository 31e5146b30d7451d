package loadbalancer.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.decision.Endpoint;

/**
 * Sidecars, endpoints, their clients, discovery and gossip on one virtual clock and with one source of random numbers.
 * The history depends on the order of the random draws; keep that order when changing this class. Not thread-safe.
 */
final class SimulatedFleet {
    private static final long START_MICROS = 1_000_000_000L;
    private static final long GOSSIP_DELAY_MICROS = 2_000;
    /** Part of the requests that are of {@link FleetShape#SUBMIT_CLASS}; the others are of the other class. */
    private static final double SUBMIT_RATIO = 0.7;

    private final FleetShape shape;
    private final EventQueue events = new EventQueue(START_MICROS);
    private final SplittableRandom random;
    private final List<SimulatedEndpoint> endpoints = new ArrayList<>();
    private final List<SimulatedSidecar> sidecars = new ArrayList<>();
    private long requests;
    private long servedRequests;
    private long gossipMessages;
    private long gossipBytes;

    SimulatedFleet(FleetShape shape) {
        this.shape = shape;
        random = new SplittableRandom(shape.seed());
        for (int i = 0; i < shape.endpointCount(); i++) {
            endpoints.add(new SimulatedEndpoint("s" + i));
        }
        List<Endpoint> endpointList = endpointList();
        for (int i = 0; i < shape.sidecarCount(); i++) {
            sidecars.add(new SimulatedSidecar(this, i));
            sidecars.get(i).start(endpointList);
            scheduleRequest(i);
        }
    }

    FleetShape shape() {
        return shape;
    }

    long nowMicros() {
        return events.nowMicros();
    }

    /** Runs the fleet for this many more seconds; returns the number of events. */
    long run(double seconds) {
        return events.runUntil(nowMicros() + (long) (seconds * 1e6));
    }

    void schedule(long delayMicros, Runnable action) {
        events.schedule(delayMicros, action);
    }

    private List<Endpoint> endpointList() {
        return endpoints.stream().map(SimulatedEndpoint::listEntry).toList();
    }

    /** Schedules the next request of a Poisson stream, which schedules its successor. */
    private void scheduleRequest(int sidecarIndex) {
        double gapMicros = exponential() * 1e6 / shape.requestsPerSecond(sidecarIndex);
        events.schedule((long) gapMicros, () -> {
            requests++;
            boolean submit = random.nextDouble() < SUBMIT_RATIO;
            sidecars.get(sidecarIndex).request(submit ? FleetShape.SUBMIT_CLASS : FleetShape.ISSUE_CLASS);
            scheduleRequest(sidecarIndex);
        });
    }

    /** A draw from the exponential distribution of mean 1. */
    private double exponential() {
        return -Math.log(1 - random.nextDouble());
    }

    /** Restarts the endpoint's process; each sidecar is notified after a delay of its own. */
    void restartEndpoint(int endpointIndex) {
        endpoints.get(endpointIndex).restart(nowMicros());
        Endpoint entry = endpoints.get(endpointIndex).listEntry();
        for (SimulatedSidecar sidecar : sidecars) {
            long delayMicros = (long) (random.nextDouble() * shape.maxNotificationDelayMicros());
            events.schedule(delayMicros, () -> sidecar.endpointChanged(entry));
        }
    }

    void restartSidecar(int sidecarIndex) {
        sidecars.get(sidecarIndex).start(endpointList());
    }

    /** Sends a request to the endpoint and returns the time at which it will be answered. */
    long forward(String endpointId) {
        double workMicros = exponential() * FleetShape.MEAN_WORK_MICROS;
        int endpointIndex = Integer.parseInt(endpointId.substring(1));
        return endpoints.get(endpointIndex).accept(nowMicros(), workMicros);
    }

    /** Sends gossip to one sidecar, or to all others where {@code receiver} is negative. */
    void sendGossip(int sender, int receiver, byte[] message) {
        if (receiver >= 0) {
            sendGossipToOne(sender, receiver, message);
            return;
        }
        for (int i = 0; i < shape.sidecarCount(); i++) {
            sendGossipToOne(sender, i, message);
        }
    }

    private void sendGossipToOne(int sender, int receiver, byte[] message) {
        if (receiver == sender) {
            return;
        }
        gossipMessages++;
        gossipBytes += message.length;
        if (random.nextDouble() >= shape.gossipLossRatio()) {
            SimulatedSidecar sidecar = sidecars.get(receiver);
            events.schedule(GOSSIP_DELAY_MICROS, () -> sidecar.gossipReceived(sender, message));
        }
    }

    void countServedRequest() {
        servedRequests++;
    }

    /** Requests that clients have sent so far. */
    long requests() {
        return requests;
    }

    /** The part of the requests so far, 0 to 1, that was served before its deadline. */
    double servedRatio() {
        return servedRequests / (double) Math.max(1, requests);
    }

    /**
     * Relative errors of the sidecars' estimates of the fleet's rate, sorted; sidecars without an estimate are left
     * out.
     */
    double[] rateEstimateErrors() {
        return sidecars.stream()
                .mapToDouble(SimulatedSidecar::estimatedFleetRate)
                .filter(rate -> rate >= 0)
                .map(rate -> Math.abs(rate / shape.requestsPerSecond() - 1))
                .sorted()
                .toArray();
    }

    /** Gossip messages sent so far, counted by receiver. */
    long gossipMessages() {
        return gossipMessages;
    }

    long gossipBytes() {
        return gossipBytes;
    }

    List<SimulatedEndpoint> endpoints() {
        return endpoints;
    }
}
