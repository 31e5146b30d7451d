/**
 * The event loop that the whole sidecar runs on, its clock, and the isolation and measurement of the tasks on it. Owns
 * the loop's thread and makes all calls to the load balancer. Knows no request, endpoint or protocol.
 */
package loadbalancer.proxy.eventloop;
