/**
 * Simulated fleets: many real decision modules in one process with one virtual clock, and models of endpoints, clients,
 * discovery and gossip. This package contains the models and the measurements made with them. It opens no socket and
 * makes no decision about a request, and only the command line may import it.
 */
package loadbalancer.simulation;
