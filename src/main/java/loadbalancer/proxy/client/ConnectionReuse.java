package loadbalancer.proxy.client;

/** Whether a connection serves further requests after a response. */
enum ConnectionReuse {
    KEEP_ALIVE,
    CLOSE
}
