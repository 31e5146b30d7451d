/**
 * The sidecar as a network program: it accepts HTTP requests of the application, carries out what
 * {@link loadbalancer.decision} decides about them, and speaks to endpoints, to discovery and to other sidecars. All of
 * it runs on one event loop. Owns every socket, thread and clock of the serving process; never makes a load balancing
 * decision itself. The sub-packages have no cycles; {@code lifecycle} wires them together.
 */
package loadbalancer.proxy;
