package loadbalancer.simulator;

import loadbalancer.decision.LoadBalancer;

/** A decoded event of a running instance, ready to be reported to its decision module. */
@FunctionalInterface
interface InstanceEvent {
    void report(long nowMicros, LoadBalancer balancer);
}
