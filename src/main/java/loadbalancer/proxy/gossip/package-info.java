/**
 * Carries gossip between sidecars in UDP datagrams and maps senders to peer indexes. It does not interpret, store or
 * repeat datagrams, and decides nothing about a request.
 */
package loadbalancer.proxy.gossip;
