package loadbalancer.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Sends this sidecar's estimates to the other sidecars at regular intervals: to all of them if that costs little,
 * otherwise to a few chosen at random. A few are enough, because each receiver takes the mean over the sidecars that it
 * has heard from recently.
 */
final class GossipSender {
    private static final long INTERVAL_MICROS = 500_000;
    /** Fraction of the service's total value that gossip may cost. */
    private static final double MAX_TOTAL_PRICE = 0.002;
    /** The price of gossip in the settings is the price of this many delivered bytes per request. */
    private static final int PRICED_BYTES = 256;
    /** Maximum number of messages in one interval if they are sent to single sidecars. */
    private static final int MAX_SINGLE_MESSAGES = 16;

    private final PolicySettings settings;
    private final SplittableRandom random;
    private final LoadBalancerActions actions;
    private final EndpointRegistry registry;
    private final RequestRateEstimator rates;
    private final FleetLoadEstimator fleetLoad;
    private final IdleConnectionPolicy idleConnections;
    private boolean timerRunning;

    GossipSender(
            PolicySettings settings,
            SplittableRandom random,
            LoadBalancerActions actions,
            RequestRateEstimator rates,
            RoutingComponents routing) {
        this.settings = settings;
        this.random = random;
        this.actions = actions;
        registry = routing.registry;
        this.rates = rates;
        fleetLoad = routing.fleetLoad;
        idleConnections = routing.idleConnections;
    }

    /** Starts the timer with a random first delay, if the settings allow gossip and the timer is not running. */
    void startIfAllowed() {
        if (!timerRunning && settings.sendsGossip()) {
            timerRunning = true;
            actions.startTimer(TimerNames.GOSSIP, INTERVAL_MICROS / 2 + random.nextLong(INTERVAL_MICROS));
        }
    }

    /**
     * Measures the request rate, sends gossip and starts the timer again, unless the settings no longer allow gossip.
     */
    void onTimer(long nowMicros) {
        timerRunning = settings.sendsGossip();
        if (!timerRunning) {
            return;
        }
        rates.measure(nowMicros);
        byte[] bytes = message(nowMicros).encode();
        int peers = settings.sidecarCount() - 1;
        double affordable = affordableMessages(bytes.length);
        if (affordable >= peers) {
            actions.sendGossip(LoadBalancerActions.ALL_SIDECARS, bytes);
        } else {
            sendToRandomPeers(Math.max(1, Math.min(MAX_SINGLE_MESSAGES, (int) affordable)), bytes);
        }
        actions.startTimer(TimerNames.GOSSIP, INTERVAL_MICROS);
    }

    private GossipMessage message(long nowMicros) {
        List<GossipMessage.MachineTypeSample> samples = new ArrayList<>();
        for (String name : settings.current().machineTypes()) {
            samples.add(registry.machineType(name).sample());
        }
        return new GossipMessage(
                settings.localZoneIndex(),
                rates.localPerSecond(),
                fleetLoad.localInFlight(nowMicros),
                samples,
                idleConnections.limitForGossipMicros(nowMicros));
    }

    /**
     * Returns how many messages this sidecar may send in an interval without exceeding its budget, which is an equal
     * fraction of the fleet's budget for gossip.
     */
    private double affordableMessages(int bytes) {
        double price = settings.prices().gossip() * bytes / PRICED_BYTES;
        double pricePerSecond = price * RateMath.MICROS_PER_SECOND / INTERVAL_MICROS;
        double budgetPerSecond = MAX_TOTAL_PRICE * rates.fleetPerSecond() / settings.sidecarCount();
        return RateMath.safeDivide(budgetPerSecond, pricePerSecond);
    }

    private void sendToRandomPeers(int messages, byte[] bytes) {
        int sidecars = settings.sidecarCount();
        for (int i = 0; i < messages; i++) {
            int peer = (settings.sidecarIndex() + 1 + random.nextInt(sidecars - 1)) % sidecars;
            actions.sendGossip(peer, bytes);
        }
    }
}
