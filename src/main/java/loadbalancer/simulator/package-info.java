/**
 * Hosts decision modules for the simulator, a separate program: events are read from standard input and actions are
 * written to standard output. This package defines the simulator protocol (the message names and the syntax of the
 * lines) and starts and stops the hosted instances. It makes no decision about a request, shares no state between
 * instances, uses only the time stated in each batch, and opens no socket.
 */
package loadbalancer.simulator;
