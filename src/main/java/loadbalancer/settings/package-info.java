/**
 * The settings of one sidecar as immutable values. This package defines only their types and units:
 * {@code loadbalancer.input} reads the settings, {@code loadbalancer.proxy.configuration} validates them before a
 * reload, and {@code loadbalancer.decision} contains the rules that use them. It depends on no other package of the
 * project.
 *
 * <p>Some settings are not used by any rule yet; their Javadoc says so.
 */
package loadbalancer.settings;
