/**
 * The settings of one sidecar as immutable values. Owns their types and units and nothing else: reading them is the job
 * of {@code loadbalancer.input}, checking them before a reload that of {@code loadbalancer.proxy.configuration}, and
 * every rule that uses them stands in {@code loadbalancer.decision}. Depends on no other package.
 */
package loadbalancer.settings;
