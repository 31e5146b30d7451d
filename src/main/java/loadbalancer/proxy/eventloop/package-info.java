/**
 * The event loop that the whole sidecar runs on, its clock, and the classes that isolate and measure the tasks on it.
 * Owns the thread of the loop and makes all calls to the load balancer. Does not depend on requests, endpoints or
 * protocols.
 */
package loadbalancer.proxy.eventloop;
