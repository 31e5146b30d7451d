/**
 * Owns the connections to the endpoints and the calls on them: dialing, idle connections and their reuse, strict
 * reading of responses, and the one outcome of each call. It decides nothing about a request: which endpoint a call
 * goes to, how long it may take and whether it is repeated is up to its caller, and no call is ever sent twice. All of
 * it belongs to one event loop.
 */
package loadbalancer.proxy.upstream;
