/**
 * The decisions of one sidecar: which endpoint a request is sent to, when it waits, is retried, hedged, rejected or
 * failed, and the estimates behind these decisions. Owns all their state. It uses no clock, thread, socket or file, and
 * the only other package it depends on is {@code settings}, so that the same events and seed give the same decisions.
 *
 * <p>{@link loadbalancer.decision.LoadBalancer} is the interface for events,
 * {@link loadbalancer.decision.LoadBalancerActions} the one for actions.
 * {@link loadbalancer.decision.LoadBalancingPolicy} hands each event to the part that decides on it; the parts are
 * wired in {@code Estimators}, {@code EndpointRouting} and {@code RequestComponents}.
 *
 * <p>The state that a rule keeps for each endpoint is a class nested in the rule's class, so that no other class can
 * write it. The remaining fields of an endpoint or a request have setters that name the one class that calls them.
 *
 * <p>Names in {@code Micros} are microseconds, names in {@code Ratio} or {@code Gain} are parts of a whole without a
 * unit, and names in {@code PerSecond} or {@code Rate} are requests a second.
 */
package loadbalancer.decision;
