/**
 * The configuration of a sidecar: the file, the environment variables that override it, and the checks before a reload.
 * Owns the names of the file's fields and of the variables. Does not hold the configuration in force or act on a
 * change.
 */
package loadbalancer.proxy.configuration;
