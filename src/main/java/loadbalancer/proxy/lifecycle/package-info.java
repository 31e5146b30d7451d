/**
 * The lifecycle of one sidecar: process, start and warm-up, configuration reload and shutdown. Creates all components
 * on one event loop, connects them with each other and divides the file descriptors among them. Makes no decision about
 * a request.
 */
package loadbalancer.proxy.lifecycle;
