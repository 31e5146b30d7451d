package loadbalancer.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.decision.Endpoint;

/**
 * A simulation of sidecars, endpoints, clients, discovery and gossip with one virtual clock and one random number
 * generator. The simulated events depend on the order in which random numbers are drawn; keep that order when changing
 * this class. Not thread-safe.
 */
final class SimulatedFleet {
    private static final long START_MICROS = 1_000_000_000L;
    private static final long GOSSIP_DELAY_MICROS = 2_000;
    /**
     * Fraction of the requests in {@link FleetParameters#SUBMIT_CLASS}; the others are in
     * {@link FleetParameters#ISSUE_CLASS}.
     */
    private static final double SUBMIT_RATIO = 0.7;

    private final FleetParameters parameters;
    private final EventQueue events = new EventQueue(START_MICROS);
    private final SplittableRandom random;
    private final List<SimulatedEndpoint> endpoints = new ArrayList<>();
    private final List<SimulatedSidecar> sidecars = new ArrayList<>();
    private long requests;
    private long servedRequests;
    private long gossipMessages;
    private long gossipBytes;

    SimulatedFleet(FleetParameters parameters) {
        this.parameters = parameters;
        random = new SplittableRandom(parameters.seed());
        for (int i = 0; i < parameters.endpointCount(); i++) {
            endpoints.add(new SimulatedEndpoint("s" + i));
        }
        List<Endpoint> endpointList = endpointList();
        for (int i = 0; i < parameters.sidecarCount(); i++) {
            sidecars.add(new SimulatedSidecar(this, i));
            sidecars.get(i).start(endpointList);
            scheduleRequest(i);
        }
    }

    FleetParameters parameters() {
        return parameters;
    }

    long nowMicros() {
        return events.nowMicros();
    }

    /** Runs the fleet for this number of additional seconds and returns the number of events. */
    long run(double seconds) {
        return events.runUntil(nowMicros() + (long) (seconds * 1e6));
    }

    void schedule(long delayMicros, Runnable action) {
        events.schedule(delayMicros, action);
    }

    private List<Endpoint> endpointList() {
        return endpoints.stream().map(SimulatedEndpoint::listEntry).toList();
    }

    /** Schedules the sidecar's next request, which schedules the one after it; the requests form a Poisson process. */
    private void scheduleRequest(int sidecarIndex) {
        double delayMicros = exponential() * 1e6 / parameters.requestsPerSecond(sidecarIndex);
        events.schedule((long) delayMicros, () -> {
            requests++;
            boolean submit = random.nextDouble() < SUBMIT_RATIO;
            sidecars.get(sidecarIndex)
                    .receiveRequest(submit ? FleetParameters.SUBMIT_CLASS : FleetParameters.ISSUE_CLASS);
            scheduleRequest(sidecarIndex);
        });
    }

    /** Returns a random number from the exponential distribution with mean 1. */
    private double exponential() {
        return -Math.log(1 - random.nextDouble());
    }

    /** Restarts the endpoint's process; each sidecar is notified after an independent random delay. */
    void restartEndpoint(int endpointIndex) {
        endpoints.get(endpointIndex).restart(nowMicros());
        Endpoint entry = endpoints.get(endpointIndex).listEntry();
        for (SimulatedSidecar sidecar : sidecars) {
            long delayMicros = (long) (random.nextDouble() * parameters.maxNotificationDelayMicros());
            events.schedule(delayMicros, () -> sidecar.receiveEndpointChange(entry));
        }
    }

    void restartSidecar(int sidecarIndex) {
        sidecars.get(sidecarIndex).start(endpointList());
    }

    /** Sends a request to the endpoint and returns the time of the response. */
    long forward(String endpointId) {
        double workMicros = exponential() * FleetParameters.MEAN_WORK_MICROS;
        int endpointIndex = Integer.parseInt(endpointId.substring(1));
        return endpoints.get(endpointIndex).accept(nowMicros(), workMicros);
    }

    /** Sends gossip to one sidecar, or to all others if {@code receiverIndex} is negative. */
    void sendGossip(int senderIndex, int receiverIndex, byte[] message) {
        if (receiverIndex >= 0) {
            sendGossipToOne(senderIndex, receiverIndex, message);
            return;
        }
        for (int i = 0; i < parameters.sidecarCount(); i++) {
            sendGossipToOne(senderIndex, i, message);
        }
    }

    private void sendGossipToOne(int senderIndex, int receiverIndex, byte[] message) {
        if (receiverIndex == senderIndex) {
            return;
        }
        gossipMessages++;
        gossipBytes += message.length;
        if (random.nextDouble() >= parameters.gossipLossRatio()) {
            SimulatedSidecar sidecar = sidecars.get(receiverIndex);
            events.schedule(GOSSIP_DELAY_MICROS, () -> sidecar.receiveGossip(senderIndex, message));
        }
    }

    void countServedRequest() {
        servedRequests++;
    }

    /** Returns the number of requests that clients have sent so far. */
    long requests() {
        return requests;
    }

    /** Returns the fraction, 0 to 1, of the requests so far that were served before their deadline. */
    double servedRatio() {
        return servedRequests / (double) Math.max(1, requests);
    }

    /**
     * Returns the relative errors of the sidecars' estimates of the fleet's request rate, in ascending order. Sidecars
     * without an estimate are omitted.
     */
    double[] rateEstimateErrors() {
        return sidecars.stream()
                .mapToDouble(SimulatedSidecar::estimatedFleetRatePerSecond)
                .filter(rate -> rate >= 0)
                .map(rate -> Math.abs(rate / parameters.requestsPerSecond() - 1))
                .sorted()
                .toArray();
    }

    /** Returns the number of gossip messages sent so far; a message to several sidecars counts once for each. */
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
