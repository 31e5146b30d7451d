/**
 * The formats on the wire: header names and values, strict framing of HTTP messages, load reports, endpoint lists and
 * JSON. Contains only stateless functions and immutable values, which any thread may use. The package opens no
 * connection, keeps no state between messages and makes no decision about a request.
 */
package loadbalancer.proxy.protocol;
