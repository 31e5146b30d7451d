/**
 * The command line, which starts a sidecar, the simulator host or the fleet cost measurement. All other code is in the
 * packages below; {@code docs/ARCHITECTURE.md} describes how they work together.
 */
package loadbalancer;
