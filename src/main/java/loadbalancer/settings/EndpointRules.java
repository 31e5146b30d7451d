package loadbalancer.settings;

/**
 * Rules for endpoints in slow start and for draining or removed endpoints, and the tolerance for late responses.
 * Requests that are sent to a draining or removed endpoint are lost, and an endpoint that is overloaded during slow
 * start stays down.
 *
 * @param drainGraceMicros time for which attempts to an endpoint are still permitted after the sidecar has been
 *     notified that the endpoint is draining or removed. The decision module sends no attempt after the notification;
 *     only the validation of a configuration reload reads this value
 * @param slowStartInitialRatio lower bound of an endpoint's capacity right after its start, as a fraction of its full
 *     capacity, above 0 and at most 1
 * @param slowStartMicros longest time from the start of an endpoint until it has its full capacity
 * @param overloadMultiple an endpoint in slow start fails if the requests sent to it within an overload window exceed
 *     its current capacity times this multiple
 * @param overloadWindowMicros length of the overload window
 * @param pollIntervalMicros if discovery is polled, a sidecar that has not polled for this time is regarded as notified
 *     of every change. Half of it also limits the backoff after failed polls
 * @param responseSlackMicros time after a request's deadline within which a final response still counts; no rule uses
 *     it
 * @param closeOnDrainMicros time within which idle connections to a draining endpoint must be closed; 0 if they may
 *     stay open. The decision module closes them at once if the time is positive
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
