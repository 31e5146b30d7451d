/**
 * Reads the settings of a sidecar and the values of load reports by their external names, and maps those names to the
 * terms of the code; no other package uses the path of a setting. This package does not check whether settings are
 * consistent, does not store them, and opens no file and no socket. It depends on {@code settings} and, for the load
 * report, on {@code decision}.
 */
package loadbalancer.input;
