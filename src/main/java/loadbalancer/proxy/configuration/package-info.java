/**
 * Reads the configuration of a sidecar from the file and the environment variables that override it, and checks the
 * settings of a reload. Defines the names of the fields and variables. Does not hold the current configuration or apply
 * changes to it.
 */
package loadbalancer.proxy.configuration;
