/**
 * The lifecycle of one sidecar: process, start and warm-up, configuration reload and shutdown. Connects all parts on
 * one event loop and divides the file descriptors among them. Never decides about a request.
 */
package loadbalancer.proxy.lifecycle;
