/**
 * The life of one sidecar: the process, the start with its warm-up, the configuration reload and the shutdown. Owns the
 * wiring of all parts on one event loop and the division of file descriptors; never decides about a request.
 */
package loadbalancer.proxy.lifecycle;
