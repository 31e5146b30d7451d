/**
 * The decisions of one sidecar: which endpoint a request is sent to, and when a request is queued, retried, hedged,
 * rejected or failed. The package contains these decisions, the estimates that they are based on, and all their state.
 * It uses no clock, thread, socket or file and depends on no other package than {@code settings}, so that the same
 * events and the same seed give the same decisions.
 *
 * <p>Requests are balanced by HALO Power-of-D (HALO_PoD) of the HALO paper. Section, equation and corollary numbers in
 * the comments refer to this paper.
 *
 * <p>{@link loadbalancer.decision.LoadBalancer} is the interface for events,
 * {@link loadbalancer.decision.LoadBalancerActions} the interface for actions.
 * {@link loadbalancer.decision.LoadBalancingPolicy} passes each event to the classes that decide on it. It creates
 * these classes, most of them through {@code Estimators}, {@code RoutingComponents} and {@code RequestComponents}.
 *
 * <p>A class that keeps state for each endpoint or request declares this state as a nested class with private fields,
 * so that no other class can set the fields; {@code TrackedEndpoint} resets some states when an endpoint restarts. The
 * remaining fields of an endpoint or a request have setters whose comments name the only class that calls them.
 *
 * <p>Names ending in {@code Micros} are times in microseconds, names ending in {@code Ratio} or {@code Gain} are
 * dimensionless, and names ending in {@code PerSecond} or {@code Rate} are in requests per second. Work is the time
 * that a request takes on a standard core, that is, a core with a speed factor of 1. The fleet consists of all sidecars
 * and the endpoints that they share.
 */
package loadbalancer.decision;
