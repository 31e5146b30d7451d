package loadbalancer.proxy.client;

/** Whether one connection is counted as kept open between two requests. Confined to the event loop. */
final class IdleCount {
    private final SidecarHttpServer server;
    private boolean counted;

    IdleCount(SidecarHttpServer server) {
        this.server = server;
    }

    void add() {
        if (!counted) {
            counted = true;
            server.idleConnectionAdded();
        }
    }

    void remove() {
        if (counted) {
            counted = false;
            server.idleConnectionRemoved();
        }
    }
}
