package loadbalancer.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Sends this sidecar's estimates to the others at intervals: to all while all messages together cost little, else to
 * some at random, since the means that are made of them need a sample only.
 */
final class GossipSender {
    private static final long INTERVAL_MICROS = 500_000;
    /** Points of the result that all gossip together may cost for each request. */
    private static final double MAX_PRICE_PER_REQUEST = 0.002;
    /** The price is for as many bytes. */
    private static final int PRICED_BYTES = 256;
    /** The most datagrams to single sidecars at a time. */
    private static final int MAX_DATAGRAMS = 16;
    /** The receiver that stands for all. */
    private static final int ALL_SIDECARS = -1;

    private final PolicySettings settings;
    private final SplittableRandom random;
    private final LoadBalancerActions actions;
    private final EndpointRegistry registry;
    private final RequestRateEstimator rates;
    private final FleetLoadEstimator fleetLoad;
    private final IdleConnectionGuard idleConnections;
    private boolean timerRunning;

    GossipSender(
            PolicySettings settings,
            SplittableRandom random,
            LoadBalancerActions actions,
            RequestRateEstimator rates,
            EndpointRouting routing) {
        this.settings = settings;
        this.random = random;
        this.actions = actions;
        registry = routing.registry;
        this.rates = rates;
        fleetLoad = routing.fleetLoad;
        idleConnections = routing.idleConnections;
    }

    /** Starts to send, at a random phase, where the settings want gossip. */
    void startIfWanted() {
        if (!timerRunning && settings.sendsGossip()) {
            timerRunning = true;
            actions.startTimer(TimerNames.GOSSIP, INTERVAL_MICROS / 2 + random.nextLong(INTERVAL_MICROS));
        }
    }

    /** Sends, and starts the timer again, unless gossip is no longer wanted. */
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
            actions.sendGossip(ALL_SIDECARS, bytes);
        } else {
            sendToSome(Math.max(1, Math.min(MAX_DATAGRAMS, (int) affordable)), bytes);
        }
        actions.startTimer(TimerNames.GOSSIP, INTERVAL_MICROS);
    }

    private GossipMessage message(long nowMicros) {
        List<GossipMessage.MachineTypeSample> samples = new ArrayList<>();
        for (String name : settings.current().machineTypes()) {
            samples.add(registry.machineType(name).sample());
        }
        return new GossipMessage(
                settings.localZone(),
                rates.localPerSecond(),
                fleetLoad.localInFlight(nowMicros),
                samples,
                idleConnections.locallySeenLimitMicros(nowMicros));
    }

    /** Messages that this sidecar may send now: each pays for its part of the fleet's requests. */
    private double affordableMessages(int bytes) {
        double price = settings.prices().gossip() * bytes / PRICED_BYTES;
        double pricePerSecond = price * RateMath.MICROS_PER_SECOND / INTERVAL_MICROS;
        double budgetPerSecond = MAX_PRICE_PER_REQUEST * rates.fleetPerSecond() / settings.sidecarCount();
        return RateMath.divide(budgetPerSecond, pricePerSecond);
    }

    private void sendToSome(int messages, byte[] bytes) {
        int sidecars = settings.sidecarCount();
        for (int i = 0; i < messages; i++) {
            int peer = (settings.sidecarIndex() + 1 + random.nextInt(sidecars - 1)) % sidecars;
            actions.sendGossip(peer, bytes);
        }
    }
}
