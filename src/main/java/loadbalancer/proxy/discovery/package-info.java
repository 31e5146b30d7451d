/**
 * Keeps the endpoint list of a sidecar up to date. Makes long polls to discovery, with timeouts and a backoff after
 * failed calls, and tracks the generation of the last list. Passes each list to its listener and then to the load
 * balancer. The package makes no decision about a request, opens no connection to an endpoint, and removes an endpoint
 * only if a list says so.
 */
package loadbalancer.proxy.discovery;
