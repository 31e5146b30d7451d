/**
 * The memory that unfinished messages hold: requests and responses of which a part has been received, requests that
 * wait for a response, and responses that their client has not read yet. Owns the limit on the sum for all peers and
 * the choice of the connections that have to free memory once the limit is exceeded. It never closes a connection
 * itself.
 */
package loadbalancer.proxy.memory;
