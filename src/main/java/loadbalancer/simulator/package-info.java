/**
 * Hosts decision modules for the simulator: events come by standard input, actions go to standard output. Owns the wire
 * (its message names, the syntax of its lines) and the life of the hosted instances. It decides nothing about a
 * request, shares nothing between instances, knows no clock but that of the batches, and opens no socket.
 */
package loadbalancer.simulator;
