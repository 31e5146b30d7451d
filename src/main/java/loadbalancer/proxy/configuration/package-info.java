/**
 * The configuration of a sidecar: the file, the environment variables that override it, and the checks before a reload.
 * Owns the outside names of both; never keeps a configuration in force or acts on a change.
 */
package loadbalancer.proxy.configuration;
