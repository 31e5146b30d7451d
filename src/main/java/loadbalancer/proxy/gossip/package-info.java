/**
 * Carries gossip between sidecars in UDP datagrams and knows which sender is which peer. It does not read what the
 * datagrams say, keeps and repeats none of them, and decides nothing about a request.
 */
package loadbalancer.proxy.gossip;
