/**
 * The client side of the sidecar. It owns the listener, the clients' connections, and each request until its final
 * response is written and its last attempt has ended. It reports requests and the outcomes of attempts to the load
 * balancer and carries out the load balancer's decisions. Without a decision it writes only responses to readiness
 * checks, interim responses, and error responses to requests that are invalid, overdue or affected by a fault.
 *
 * <p>{@link loadbalancer.proxy.client.SidecarHttpServer} accepts connections and shuts down, {@code ClientConnection}
 * keeps the responses on one connection in the order of the requests, {@code RequestParser} parses and checks each
 * request, and {@link loadbalancer.proxy.client.RequestDispatcher} holds the open requests. All state is confined to
 * one event loop. Times are in microseconds of the {@link loadbalancer.proxy.eventloop.MonotonicClock}.
 */
package loadbalancer.proxy.client;
