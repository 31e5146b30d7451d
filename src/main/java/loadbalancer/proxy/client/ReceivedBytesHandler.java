package loadbalancer.proxy.client;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * The first handler of a client's connection, before the decoder: records when bytes arrive, and discards them once the
 * connection accepts no further requests. The socket is read even then, because otherwise the end of the connection
 * would not be noticed.
 */
final class ReceivedBytesHandler extends ChannelInboundHandlerAdapter {
    private final ClientConnection connection;

    ReceivedBytesHandler(ClientConnection connection) {
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        if (!connection.acceptsRequests()) {
            ReferenceCountUtil.release(bytes);
            return;
        }
        connection.bytesReceived();
        context.fireChannelRead(bytes);
    }
}
