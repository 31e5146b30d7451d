package loadbalancer.settings;

/**
 * Rules for endpoints that start or leave, and for the time of the final response. Breaking them harms the service:
 * requests sent to a leaving endpoint are lost, and an endpoint in slow start that is overloaded stays down.
 *
 * @param drainGraceMicros how long the site still accepts attempts to an endpoint after the notice that it is draining
 *     or removed. The module sends none after the notice; only the check of a reload reads this
 * @param slowStartInitialRatio lower bound of the part of its full capacity that an endpoint has right after its start,
 *     above 0 and at most 1
 * @param slowStartMicros longest time from the start of an endpoint until it has its full capacity
 * @param overloadMultiple an endpoint in slow start fails if it is sent more than this many times its present capacity
 *     in an overload window
 * @param overloadWindowMicros length of the overload window
 * @param pollIntervalMicros where discovery is polled, a sidecar that has not polled for this long counts as notified
 *     of every change
 * @param responseSlackMicros time after a request's deadline within which a final response still counts; no rule uses
 *     it
 * @param closeOnDrainMicros idle connections to a draining endpoint have to be closed within this time; 0 if they may
 *     stay open
 */
public record EndpointRules(
        long drainGraceMicros,
        double slowStartInitialRatio,
        long slowStartMicros,
        double overloadMultiple,
        long overloadWindowMicros,
        long pollIntervalMicros,
        long responseSlackMicros,
        long closeOnDrainMicros) {}
