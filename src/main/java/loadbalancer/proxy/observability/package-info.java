/**
 * Reports the state of the serving process to its operator: the log, the traffic totals, and the durations of the
 * startup phases. Owns the thread that writes the log. Never blocks the event loop, and uses no other package of the
 * proxy.
 */
package loadbalancer.proxy.observability;
