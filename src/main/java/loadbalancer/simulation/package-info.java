/**
 * Simulated fleets: many real decision modules in one process on one virtual clock, with endpoints, clients, discovery
 * and gossip as models around them. Owns the models and what is measured on them. It opens no socket, decides nothing
 * about a request, and no other package but the command line may import it.
 */
package loadbalancer.simulation;
