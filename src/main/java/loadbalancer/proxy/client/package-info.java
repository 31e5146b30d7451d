/**
 * The client side of the sidecar. It owns the listener, the clients' connections, and each request until its final
 * response is written and its last attempt has ended. It passes requests and outcomes to the load balancer and carries
 * out its decisions. By itself it only gives error responses: to requests that are invalid, overdue or affected by a
 * fault.
 *
 * <p>{@link loadbalancer.proxy.client.ClientServer} accepts connections and shuts down, {@code ClientConnection} keeps
 * the order of requests and responses on one of them, {@code RequestParser} checks what was received, and
 * {@link loadbalancer.proxy.client.RequestDispatcher} holds the requests. All state belongs to one event loop. Times
 * are in microseconds of the {@link loadbalancer.proxy.eventloop.MonotonicClock}.
 */
package loadbalancer.proxy.client;
