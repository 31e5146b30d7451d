/**
 * Simulated fleets: many real decision modules in one process on one virtual clock, with check servers, clients,
 * discovery and peers' datagrams as models around them. Owns the models and what is measured on them; opens no socket,
 * decides nothing about a request, and is imported by no other package but the command line.
 */
package loadbalancer.simulation;
