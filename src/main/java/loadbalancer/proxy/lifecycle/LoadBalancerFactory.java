package loadbalancer.proxy.lifecycle;

import loadbalancer.decision.LoadBalancer;
import loadbalancer.decision.LoadBalancerActions;
import loadbalancer.proxy.configuration.SidecarConfiguration;

/** Creates the load balancer of a sidecar. Called once, on the sidecar's event loop. */
@FunctionalInterface
public interface LoadBalancerFactory {
    /**
     * Creates the load balancer, which may already use {@code actions} in its constructor; they are carried out after
     * this call. {@code nowMicros} is a time of the sidecar's {@link loadbalancer.proxy.eventloop.MonotonicClock}.
     */
    LoadBalancer create(SidecarConfiguration configuration, long nowMicros, LoadBalancerActions actions);
}
