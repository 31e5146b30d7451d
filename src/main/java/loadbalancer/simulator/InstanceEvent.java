package loadbalancer.simulator;

import loadbalancer.decision.LoadBalancer;

/** A decoded event of a running instance, which can be reported to the decision module of the instance. */
@FunctionalInterface
interface InstanceEvent {
    void report(long nowMicros, LoadBalancer loadBalancer);
}
