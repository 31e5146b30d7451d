/**
 * The networking of the sidecar: it accepts the application's HTTP requests, carries out what
 * {@link loadbalancer.decision} decides about them, and communicates with endpoints, discovery and other sidecars. All
 * of it runs on one event loop. Owns every socket, thread and clock of the serving process; never makes a load
 * balancing decision itself. The sub-packages have no cycles; {@code lifecycle} wires them together.
 */
package loadbalancer.proxy;
