/**
 * Keeps a sidecar's endpoint list up to date: long polls to the discovery agent, their timeouts, backoff after failed
 * calls and the generation of the last list. Hands each list to its listener and to the decision module. It decides
 * nothing about a request, opens no connection to an endpoint and drops no endpoint by itself: an endpoint is removed
 * only where a list says so.
 */
package loadbalancer.proxy.discovery;
