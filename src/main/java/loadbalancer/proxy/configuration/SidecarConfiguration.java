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
 * @param listenAddress the address that clients connect to
 * @param discoveryAddress the address of the discovery service, which sends the endpoint list
 * @param seed the seed of the load balancer's random choices
 * @param descriptorLimit the maximum number of file descriptors that the process may have open
 * @param memoryLimitBytes the memory limit of the process; {@link Long#MAX_VALUE} if there is none
 * @param gossipListenAddress the address that receives datagrams from other sidecars; null without gossip
 * @param gossipPeers the addresses of all sidecars, in the order of their indexes; empty without gossip
 * @param gossipBroadcastAddress the address that reaches all sidecars; null if there is none
 * @param initialEndpoints the endpoint list that was known before this start and may be outdated
 * @param flattenedSettings the paths and values that {@code settings} was read from; used to detect changes
 * @param settings the settings of the load balancer
 */
public record SidecarConfiguration(
        String name,
        InetSocketAddress listenAddress,
        InetSocketAddress discoveryAddress,
        long seed,
        int descriptorLimit,
        long memoryLimitBytes,
        InetSocketAddress gossipListenAddress,
        List<InetSocketAddress> gossipPeers,
        InetSocketAddress gossipBroadcastAddress,
        EndpointList initialEndpoints,
        Map<String, String> flattenedSettings,
        LoadBalancerSettings settings) {

    /**
     * Returns the descriptor limit and the time limits of each request class, as keys and values for the log. Operators
     * compare them with the needs of a deployment.
     */
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

    /** Returns a copy with other addresses and endpoints, and without gossip. */
    public SidecarConfiguration forWarmUp(
            InetSocketAddress warmUpListenAddress,
            InetSocketAddress warmUpDiscoveryAddress,
            EndpointList warmUpEndpoints) {
        return new SidecarConfiguration(
                name,
                warmUpListenAddress,
                warmUpDiscoveryAddress,
                seed,
                descriptorLimit,
                memoryLimitBytes,
                null,
                List.of(),
                null,
                warmUpEndpoints,
                flattenedSettings,
                settings);
    }
}
