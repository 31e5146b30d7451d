/**
 * Owns the connections to the endpoints and the calls on them. Opens connections, reuses idle ones, reads responses
 * strictly, and ends each call with exactly one outcome. The package makes no decision about a request. The caller
 * decides to which endpoint a call is sent, how long the call may take and whether the request is retried. No call is
 * sent twice. All classes are confined to one event loop.
 */
package loadbalancer.proxy.upstream;
