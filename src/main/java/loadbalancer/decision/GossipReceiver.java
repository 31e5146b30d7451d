package loadbalancer.decision;

import java.util.List;

/**
 * Handles gossip from other sidecars. Limits rates and requests in flight to a plausible range, so that a wrong message
 * does little harm.
 */
final class GossipReceiver {
    /** A rate is limited to this many times the sum of the tenants' quotas. */
    private static final double MAX_QUOTA_RATIO = 5;

    private final PolicySettings settings;
    private final GossipState gossip;
    private final EndpointRegistry registry;
    private final IdleConnectionPolicy idleConnections;

    GossipReceiver(
            PolicySettings settings,
            GossipState gossip,
            EndpointRegistry registry,
            IdleConnectionPolicy idleConnections) {
        this.settings = settings;
        this.gossip = gossip;
        this.registry = registry;
        this.idleConnections = idleConnections;
    }

    /** Handles a message. Ignores it if it is malformed or does not come from a peer. */
    void onMessage(long nowMicros, int sidecarIndex, byte[] bytes) {
        List<String> machineTypes = settings.current().machineTypes();
        GossipMessage message = isPeer(sidecarIndex) ? GossipMessage.decode(bytes, machineTypes.size()) : null;
        if (message == null || message.zoneIndex() >= gossip.zoneCount()) {
            return;
        }
        double ratePerSecond = plausibleRate(message.ratePerSecond());
        double inFlight = plausibleInFlight(message.inFlight(), ratePerSecond);
        gossip.record(sidecarIndex, new GossipPeer(ratePerSecond, inFlight, message.zoneIndex(), nowMicros));
        for (int i = 0; i < machineTypes.size(); i++) {
            registry.machineType(machineTypes.get(i))
                    .mergePeerEstimate(message.machineTypes().get(i));
        }
        if (message.idleLimitMicros() > 0) {
            idleConnections.lowerLimit(nowMicros, message.idleLimitMicros());
        }
    }

    private boolean isPeer(int sidecarIndex) {
        return sidecarIndex >= 0 && sidecarIndex < settings.sidecarCount() && sidecarIndex != settings.sidecarIndex();
    }

    private double plausibleRate(double ratePerSecond) {
        double quotas = settings.quotaSumPerSecond();
        return quotas > 0 ? Math.min(ratePerSecond, MAX_QUOTA_RATIO * quotas) : ratePerSecond;
    }

    /**
     * Limits the requests in flight to one more than can have arrived within the longest deadline, since a sidecar
     * can't have more.
     */
    private double plausibleInFlight(double inFlight, double ratePerSecond) {
        return Math.min(inFlight, 1 + ratePerSecond * settings.longestDeadlineMicros() / RateMath.MICROS_PER_SECOND);
    }
}
