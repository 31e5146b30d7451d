/**
 * <<<<<<< HEAD The command line: starts a sidecar, the simulator host or the fleet cost measurement. Owns nothing else;
 * the parts are in the packages below, and {@code docs/ARCHITECTURE.md} says how they work together. ======= The
 * program's entry point. Owns the command line and nothing else; each command is another package's:
 * {@code loadbalancer.proxy} serves, {@code loadbalancer.simulator} hosts modules for the simulator,
 * {@code loadbalancer.simulation} measures simulated fleets. >>>>>>> d460bb4d0e23ce2a16e4c0a00e34d1e6fd0a54f9
 */
package loadbalancer;
