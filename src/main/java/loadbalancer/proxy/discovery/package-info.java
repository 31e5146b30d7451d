/**
 * Keeps a sidecar's endpoint list up to date: long polls to the discovery agent, their timeouts, backoff after failed
 * calls and the generation of the last list. Passes each list to its listener and then to the load balancer. It decides
 * nothing about a request, opens no connection to an endpoint, and removes an endpoint only if a list says so.
 */
package loadbalancer.proxy.discovery;
