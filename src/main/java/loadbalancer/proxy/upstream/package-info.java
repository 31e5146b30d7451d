/**
 * Owns the connections to the endpoints and the calls on them: opening connections, reusing idle ones, reading
 * responses strictly, and giving each call its one outcome. It decides nothing about a request: the caller decides
 * which endpoint a call goes to, how long it may take and whether it is retried. No call is ever sent twice. Everything
 * here is confined to one event loop.
 */
package loadbalancer.proxy.upstream;
