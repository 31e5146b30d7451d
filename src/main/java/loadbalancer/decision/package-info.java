/**
 * The decisions of one sidecar: which endpoint a request is sent to, when it waits, is retried, hedged, rejected or
 * failed, and what is learned of endpoints on the way. Owns all state of these decisions; knows no clock, thread,
 * socket or file, and depends on the settings alone, so that the same events and seed give the same decisions.
 *
 * <p>{@link loadbalancer.decision.LoadBalancer} is the interface, {@link loadbalancer.decision.LoadBalancerActions}
 * what it may do. {@link loadbalancer.decision.LoadBalancingPolicy} hands each event to its part; the parts are wired
 * in {@code Estimators}, {@code EndpointRouting} and {@code RequestHandling}.
 *
 * <p>What a rule remembers of an endpoint is a type nested in the rule's class, which no other class can write. The few
 * flags of a request are written by the class that is named at their setter.
 */
package loadbalancer.decision;
