/**
 * The side of the sidecar that clients see. It owns the listener, the connections of clients and the requests that they
 * have sent, each until its final response is written and its last attempt has ended. It passes requests and outcomes
 * to the load balancer and carries out the decisions on them; it decides nothing about a request by itself, except that
 * one that is invalid, overdue or hit by a fault gets an error.
 *
 * <p>{@link loadbalancer.proxy.client.ClientServer} accepts connections and shuts down, {@code ClientConnection} keeps
 * the order of requests and responses on one of them, {@code RequestParser} checks what was received, and
 * {@link loadbalancer.proxy.client.RequestDispatcher} holds the requests. All state belongs to one event loop. Times
 * are in microseconds of the {@link loadbalancer.proxy.eventloop.MonotonicClock}.
 */
package loadbalancer.proxy.client;
