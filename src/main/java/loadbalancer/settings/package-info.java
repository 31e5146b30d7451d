/**
 * The settings of one sidecar as immutable values. Owns their types and units and nothing else:
 * {@code loadbalancer.input} reads them, {@code loadbalancer.proxy.configuration} checks them before a reload, and the
 * rules that use them are in {@code loadbalancer.decision}. Depends on no other package.
 *
 * <p>Some settings describe the site without any rule that uses them yet; their Javadoc says so.
 */
package loadbalancer.settings;
