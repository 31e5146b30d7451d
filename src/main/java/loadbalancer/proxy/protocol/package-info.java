/**
 * The forms of the wire: names of headers, checks of their values, strict framing of HTTP messages, load reports,
 * endpoint lists and the JSON that these come in. Pure functions and values without threads or state. It opens no
 * connection, keeps nothing from one message to the next and decides nothing about a request.
 */
package loadbalancer.proxy.protocol;
