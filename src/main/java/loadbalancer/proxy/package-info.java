/**
 * The networking of the sidecar: it accepts the application's HTTP requests, carries out the decisions of
 * {@link loadbalancer.decision}, and communicates with endpoints, discovery and other sidecars. All of it runs on one
 * event loop. It owns every socket, thread and clock of the serving process, and never makes a load balancing decision
 * itself. The sub-packages do not depend on each other in cycles; {@code lifecycle} connects them.
 */
package loadbalancer.proxy;
