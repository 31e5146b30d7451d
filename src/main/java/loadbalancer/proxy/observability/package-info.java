/**
 * What the serving process reports to its operator: the log, the totals of the traffic, and where the time of a start
 * goes. Owns the thread that writes the log; never blocks the event loop, and knows no other package of the proxy.
 */
package loadbalancer.proxy.observability;
