/**
 * The event loop that the whole sidecar runs on, its clock, and what keeps work on it isolated and measured. Owns the
 * loop's thread and the calls into the decision module; never knows a request, an endpoint or a protocol.
 */
package loadbalancer.proxy.eventloop;
