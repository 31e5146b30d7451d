/**
 * The program's entry point. Owns the command line and nothing else; each command is another package's:
 * {@code loadbalancer.proxy} serves, {@code loadbalancer.simulator} hosts modules for the simulator,
 * {@code loadbalancer.simulation} measures simulated fleets.
 */
package loadbalancer;
