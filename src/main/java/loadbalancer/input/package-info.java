/**
 * Reads what comes from outside under outside names: the settings of a sidecar and the values of a load report. Owns
 * the map from those names to the terms of the code; no other package knows a setting by its path. It neither decides
 * whether settings make sense together nor keeps them, and it opens no file and no socket.
 */
package loadbalancer.input;
