/**
 * The event loop that the whole sidecar runs on, its clock, and the classes that isolate and measure the tasks on it.
 * Owns the thread of the loop and makes all calls to the load balancer. Of the other packages it uses only
 * {@code decision} and {@code observability}.
 */
package loadbalancer.proxy.eventloop;
