/**
 * Carries gossip between sidecars in UDP datagrams and maps senders to peer indexes. Does not interpret, store or
 * repeat datagrams, and makes no decision about a request.
 */
package loadbalancer.proxy.gossip;
