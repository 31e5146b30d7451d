/**
 * The command line: starts a sidecar, the simulator host or the fleet cost measurement. Owns nothing else; the parts
 * are in the packages below, and {@code docs/ARCHITECTURE.md} says how they work together.
 */
package loadbalancer;
