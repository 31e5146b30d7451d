package loadbalancer.proxy.lifecycle;

import loadbalancer.decision.LoadBalancer;
import loadbalancer.decision.LoadBalancerActions;
import loadbalancer.proxy.configuration.SidecarConfiguration;

/** Creates the decision module of a sidecar. Called once, on the sidecar's event loop. */
@FunctionalInterface
public interface LoadBalancerFactory {
    /** The module may use {@code actions} from its construction on; they are carried out after this call. */
    LoadBalancer create(SidecarConfiguration configuration, long nowMicros, LoadBalancerActions actions);
}
