package loadbalancer.proxy.client;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/** Whether a connection serves further requests after a response. */
enum ConnectionReuse {
    KEEP_ALIVE,
    CLOSE;

    /** Returns what the client of a request wants. */
    static ConnectionReuse requestedBy(FullHttpRequest message) {
        return HttpUtil.isKeepAlive(message) ? KEEP_ALIVE : CLOSE;
    }
}
