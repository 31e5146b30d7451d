package loadbalancer.proxy.configuration;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import loadbalancer.proxy.protocol.EndpointList;
import loadbalancer.settings.LoadBalancerSettings;
import loadbalancer.settings.RequestClass;

/**
 * The configuration of one sidecar, as {@link SidecarConfigurationReader} reads it. Immutable.
 *
 * @param name the sidecar's name, for the log
 * @param listenAddress where clients connect
 * @param discoveryAddress where the endpoint list is fetched from
 * @param seed the seed of the load balancer's random choices
 * @param descriptorLimit how many file descriptors the process may have open
 * @param gossipListenAddress where datagrams from other sidecars are received; null without gossip
 * @param gossipPeers the addresses of all sidecars, in the order of their indices; empty without gossip
 * @param gossipBroadcastAddress the address that reaches all sidecars; null if there is none
 * @param initialEndpoints the endpoint list from before this start, which may be outdated
 * @param settingsText the flattened names and values that {@code settings} was read from; used to detect changes
 * @param settings the settings of the load balancer
 */
public record SidecarConfiguration(
        String name,
        InetSocketAddress listenAddress,
        InetSocketAddress discoveryAddress,
        long seed,
        int descriptorLimit,
        InetSocketAddress gossipListenAddress,
        List<InetSocketAddress> gossipPeers,
        InetSocketAddress gossipBroadcastAddress,
        EndpointList initialEndpoints,
        Map<String, String> settingsText,
        LoadBalancerSettings settings) {

    /** Returns the limits that an operator checks against the needs of a deployment, as keys and values for the log. */
    public String describeLimits() {
        StringBuilder limits = new StringBuilder("descriptor_limit=").append(descriptorLimit);
        for (RequestClass requestClass : settings.requestClasses()) {
            limits.append(" class=")
                    .append(requestClass.name())
                    .append(" latency_objective_millis=")
                    .append(requestClass.latencyObjectiveMicros() / 1000)
                    .append(" deadline_millis=")
                    .append(requestClass.deadlineMicros() / 1000);
        }
        return limits.toString();
    }

    /** A copy with other addresses and endpoints, and without gossip. */
    public SidecarConfiguration forWarmUp(
            InetSocketAddress warmUpListenAddress, InetSocketAddress warmUpDiscovery, EndpointList warmUpEndpoints) {
        return new SidecarConfiguration(
                name,
                warmUpListenAddress,
                warmUpDiscovery,
                seed,
                descriptorLimit,
                null,
                List.of(),
                null,
                warmUpEndpoints,
                settingsText,
                settings);
    }
}
