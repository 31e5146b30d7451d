package loadbalancer.proxy.lifecycle;

import loadbalancer.decision.LoadBalancer;
import loadbalancer.decision.LoadBalancerActions;
import loadbalancer.proxy.configuration.SidecarConfiguration;

/** Creates the load balancer of a sidecar. Called once, on the sidecar's event loop. */
@FunctionalInterface
public interface LoadBalancerFactory {
    /**
     * Creates the load balancer. Its constructor may already call {@code actions}; these actions are carried out after
     * this method has returned. {@code nowMicros} is the current time of the sidecar's
     * {@link loadbalancer.proxy.eventloop.MonotonicClock}.
     */
    LoadBalancer create(SidecarConfiguration configuration, long nowMicros, LoadBalancerActions actions);
}
