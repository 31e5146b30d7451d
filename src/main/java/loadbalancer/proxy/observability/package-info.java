/**
 * What the serving process reports to its operator: the log, the traffic totals, and the duration of the phases of the
 * start. Owns the thread that writes the log. Never blocks the event loop, and uses no other package of the proxy.
 */
package loadbalancer.proxy.observability;
