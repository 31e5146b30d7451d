/**
 * The formats on the wire: header names and values, strict framing of HTTP messages, load reports, endpoint lists and
 * JSON. Contains only stateless functions and immutable values, which any thread may use. It opens no connection,
 * remembers nothing from one message to the next and decides nothing about a request.
 */
package loadbalancer.proxy.protocol;
