/**
 * The command {@code fault-soak}: starts real sidecar processes on loopback addresses between stand-ins for clients,
 * endpoints and discovery, injects faults that are drawn from a seed, records what happened and checks the record
 * against the rules of the protocol. Uses no code of the sidecar, so that a fault there can't hide itself here. Not
 * loaded by the other commands.
 *
 * <p>All stand-ins of a run, and its record, belong to one event loop. Times are in microseconds since the start of the
 * run.
 */
package loadbalancer.soak;
