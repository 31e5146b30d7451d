package loadbalancer.proxy.client;

/** The connection that a request came from, as far as its attempts depend on it. Confined to the event loop. */
interface RequestSource {
    /** Returns whether all input of the client has been read, so that it is known whether it has disconnected. */
    boolean isInputRead();

    /** Returns the ids that are remembered of the requests of this connection. */
    RecentRequestIds.Share recentIds();
}
