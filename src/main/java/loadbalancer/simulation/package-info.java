/**
 * Simulated fleets: many real decision modules in one process on one virtual clock, with models of endpoints, clients,
 * discovery and gossip. Owns the models and the measurements made on them. It opens no socket, decides nothing about a
 * request, and only the command line may import it.
 */
package loadbalancer.simulation;
