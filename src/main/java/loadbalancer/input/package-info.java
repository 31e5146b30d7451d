/**
 * Reads the settings of a sidecar and the values of load reports by their outside names. Owns the map from those names
 * to the terms of the code; no other package knows a setting by its path. It neither checks whether settings make sense
 * together nor keeps them, and it opens no file and no socket. Depends on {@code settings} and, for the load report, on
 * {@code decision}.
 */
package loadbalancer.input;
